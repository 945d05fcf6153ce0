#![allow(unused_imports)]
#![allow(unused_extern_crates)]
#![allow(clippy::too_many_arguments, clippy::type_complexity, clippy::vec_box)]
#![cfg_attr(rustfmt, rustfmt_skip)]

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::convert::{From, TryFrom};
use std::default::Default;
use std::error::Error;
use std::fmt;
use std::fmt::{Display, Formatter};
use std::rc::Rc;

use thrift::OrderedFloat;
use thrift::{ApplicationError, ApplicationErrorKind, ProtocolError, ProtocolErrorKind, TThriftClient};
use thrift::protocol::{TFieldIdentifier, TListIdentifier, TMapIdentifier, TMessageIdentifier, TMessageType, TInputProtocol, TOutputProtocol, TSerializable, TSetIdentifier, TStructIdentifier, TType};
use thrift::protocol::field_id;
use thrift::protocol::verify_expected_message_type;
use thrift::protocol::verify_expected_sequence_number;
use thrift::protocol::verify_expected_service_call;
use thrift::protocol::verify_required_field_exists;
use thrift::server::TProcessor;

//
// Grant
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Grant {
  pub slot: i32,
  pub fence: i64,
  pub heir: i16,
}

impl Grant {
  pub fn new(slot: i32, fence: i64, heir: i16) -> Grant {
    Grant {
      slot,
      fence,
      heir,
    }
  }
}

impl TSerializable for Grant {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Grant> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i32> = None;
    let mut f_2: Option<i64> = None;
    let mut f_3: Option<i16> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i32()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_i16()?;
          f_3 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Grant.slot", &f_1)?;
    verify_required_field_exists("Grant.fence", &f_2)?;
    verify_required_field_exists("Grant.heir", &f_3)?;
    let ret = Grant {
      slot: f_1.expect("auto-generated code should have checked for presence of required fields"),
      fence: f_2.expect("auto-generated code should have checked for presence of required fields"),
      heir: f_3.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Grant");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("slot", TType::I32, 1))?;
    o_prot.write_i32(self.slot)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("fence", TType::I64, 2))?;
    o_prot.write_i64(self.fence)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("heir", TType::I16, 3))?;
    o_prot.write_i16(self.heir)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Holding
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Holding {
  pub row_version: i64,
  pub service_name: String,
  pub witnesses: Vec<i64>,
  pub heirs: Vec<i64>,
  pub grants: Vec<Grant>,
}

impl Holding {
  pub fn new(row_version: i64, service_name: String, witnesses: Vec<i64>, heirs: Vec<i64>, grants: Vec<Grant>) -> Holding {
    Holding {
      row_version,
      service_name,
      witnesses,
      heirs,
      grants,
    }
  }
}

impl TSerializable for Holding {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Holding> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i64> = None;
    let mut f_2: Option<String> = None;
    let mut f_3: Option<Vec<i64>> = None;
    let mut f_4: Option<Vec<i64>> = None;
    let mut f_5: Option<Vec<Grant>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i64()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_string()?;
          f_2 = Some(val);
        },
        3 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<i64> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_0 = i_prot.read_i64()?;
            val.push(list_elem_0);
          }
          i_prot.read_list_end()?;
          f_3 = Some(val);
        },
        4 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<i64> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_1 = i_prot.read_i64()?;
            val.push(list_elem_1);
          }
          i_prot.read_list_end()?;
          f_4 = Some(val);
        },
        5 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<Grant> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_2 = Grant::read_from_in_protocol(i_prot)?;
            val.push(list_elem_2);
          }
          i_prot.read_list_end()?;
          f_5 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Holding.row_version", &f_1)?;
    verify_required_field_exists("Holding.service_name", &f_2)?;
    verify_required_field_exists("Holding.witnesses", &f_3)?;
    verify_required_field_exists("Holding.heirs", &f_4)?;
    verify_required_field_exists("Holding.grants", &f_5)?;
    let ret = Holding {
      row_version: f_1.expect("auto-generated code should have checked for presence of required fields"),
      service_name: f_2.expect("auto-generated code should have checked for presence of required fields"),
      witnesses: f_3.expect("auto-generated code should have checked for presence of required fields"),
      heirs: f_4.expect("auto-generated code should have checked for presence of required fields"),
      grants: f_5.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Holding");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("row_version", TType::I64, 1))?;
    o_prot.write_i64(self.row_version)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("service_name", TType::String, 2))?;
    o_prot.write_string(&self.service_name)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("witnesses", TType::List, 3))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::I64, self.witnesses.len() as i32))?;
    for e in &self.witnesses {
      o_prot.write_i64(*e)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("heirs", TType::List, 4))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::I64, self.heirs.len() as i32))?;
    for e in &self.heirs {
      o_prot.write_i64(*e)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("grants", TType::List, 5))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, self.grants.len() as i32))?;
    for e in &self.grants {
      e.write_to_out_protocol(o_prot)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Heartbeat
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Heartbeat {
  pub ward: i64,
  pub witness: i64,
  pub sequence: i64,
  pub heirs_void: bool,
  pub holding: Option<Holding>,
}

impl Heartbeat {
  pub fn new<F5>(ward: i64, witness: i64, sequence: i64, heirs_void: bool, holding: F5) -> Heartbeat where F5: Into<Option<Holding>> {
    Heartbeat {
      ward,
      witness,
      sequence,
      heirs_void,
      holding: holding.into(),
    }
  }
}

impl TSerializable for Heartbeat {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Heartbeat> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i64> = None;
    let mut f_2: Option<i64> = None;
    let mut f_3: Option<i64> = None;
    let mut f_4: Option<bool> = None;
    let mut f_5: Option<Holding> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i64()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_i64()?;
          f_3 = Some(val);
        },
        4 => {
          let val = i_prot.read_bool()?;
          f_4 = Some(val);
        },
        5 => {
          let val = Holding::read_from_in_protocol(i_prot)?;
          f_5 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Heartbeat.ward", &f_1)?;
    verify_required_field_exists("Heartbeat.witness", &f_2)?;
    verify_required_field_exists("Heartbeat.sequence", &f_3)?;
    verify_required_field_exists("Heartbeat.heirs_void", &f_4)?;
    let ret = Heartbeat {
      ward: f_1.expect("auto-generated code should have checked for presence of required fields"),
      witness: f_2.expect("auto-generated code should have checked for presence of required fields"),
      sequence: f_3.expect("auto-generated code should have checked for presence of required fields"),
      heirs_void: f_4.expect("auto-generated code should have checked for presence of required fields"),
      holding: f_5,
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Heartbeat");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("ward", TType::I64, 1))?;
    o_prot.write_i64(self.ward)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("witness", TType::I64, 2))?;
    o_prot.write_i64(self.witness)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("sequence", TType::I64, 3))?;
    o_prot.write_i64(self.sequence)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("heirs_void", TType::Bool, 4))?;
    o_prot.write_bool(self.heirs_void)?;
    o_prot.write_field_end()?;
    if let Some(ref fld_var) = self.holding {
      o_prot.write_field_begin(&TFieldIdentifier::new("holding", TType::Struct, 5))?;
      fld_var.write_to_out_protocol(o_prot)?;
      o_prot.write_field_end()?
    }
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// HeartbeatAck
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HeartbeatAck {
  pub granted: bool,
  pub held_sequence: i64,
}

impl HeartbeatAck {
  pub fn new(granted: bool, held_sequence: i64) -> HeartbeatAck {
    HeartbeatAck {
      granted,
      held_sequence,
    }
  }
}

impl TSerializable for HeartbeatAck {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<HeartbeatAck> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<bool> = None;
    let mut f_2: Option<i64> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_bool()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("HeartbeatAck.granted", &f_1)?;
    verify_required_field_exists("HeartbeatAck.held_sequence", &f_2)?;
    let ret = HeartbeatAck {
      granted: f_1.expect("auto-generated code should have checked for presence of required fields"),
      held_sequence: f_2.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("HeartbeatAck");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("granted", TType::Bool, 1))?;
    o_prot.write_bool(self.granted)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("held_sequence", TType::I64, 2))?;
    o_prot.write_i64(self.held_sequence)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// SealQuery
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SealQuery {
  pub ward: i64,
  pub witness: i64,
  pub claimant: i64,
}

impl SealQuery {
  pub fn new(ward: i64, witness: i64, claimant: i64) -> SealQuery {
    SealQuery {
      ward,
      witness,
      claimant,
    }
  }
}

impl TSerializable for SealQuery {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<SealQuery> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i64> = None;
    let mut f_2: Option<i64> = None;
    let mut f_3: Option<i64> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i64()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_i64()?;
          f_3 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("SealQuery.ward", &f_1)?;
    verify_required_field_exists("SealQuery.witness", &f_2)?;
    verify_required_field_exists("SealQuery.claimant", &f_3)?;
    let ret = SealQuery {
      ward: f_1.expect("auto-generated code should have checked for presence of required fields"),
      witness: f_2.expect("auto-generated code should have checked for presence of required fields"),
      claimant: f_3.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("SealQuery");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("ward", TType::I64, 1))?;
    o_prot.write_i64(self.ward)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("witness", TType::I64, 2))?;
    o_prot.write_i64(self.witness)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("claimant", TType::I64, 3))?;
    o_prot.write_i64(self.claimant)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Seal
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Seal {
  pub sealed: bool,
  pub sequence: i64,
  pub heirs_void: bool,
  pub holding: Option<Holding>,
}

impl Seal {
  pub fn new<F4>(sealed: bool, sequence: i64, heirs_void: bool, holding: F4) -> Seal where F4: Into<Option<Holding>> {
    Seal {
      sealed,
      sequence,
      heirs_void,
      holding: holding.into(),
    }
  }
}

impl TSerializable for Seal {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Seal> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<bool> = None;
    let mut f_2: Option<i64> = None;
    let mut f_3: Option<bool> = None;
    let mut f_4: Option<Holding> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_bool()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_bool()?;
          f_3 = Some(val);
        },
        4 => {
          let val = Holding::read_from_in_protocol(i_prot)?;
          f_4 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Seal.sealed", &f_1)?;
    verify_required_field_exists("Seal.sequence", &f_2)?;
    verify_required_field_exists("Seal.heirs_void", &f_3)?;
    let ret = Seal {
      sealed: f_1.expect("auto-generated code should have checked for presence of required fields"),
      sequence: f_2.expect("auto-generated code should have checked for presence of required fields"),
      heirs_void: f_3.expect("auto-generated code should have checked for presence of required fields"),
      holding: f_4,
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Seal");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("sealed", TType::Bool, 1))?;
    o_prot.write_bool(self.sealed)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("sequence", TType::I64, 2))?;
    o_prot.write_i64(self.sequence)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("heirs_void", TType::Bool, 3))?;
    o_prot.write_bool(self.heirs_void)?;
    o_prot.write_field_end()?;
    if let Some(ref fld_var) = self.holding {
      o_prot.write_field_begin(&TFieldIdentifier::new("holding", TType::Struct, 4))?;
      fld_var.write_to_out_protocol(o_prot)?;
      o_prot.write_field_end()?
    }
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// SealNotice
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SealNotice {
  pub ward: i64,
  pub witness: i64,
  pub seal: Seal,
}

impl SealNotice {
  pub fn new(ward: i64, witness: i64, seal: Seal) -> SealNotice {
    SealNotice {
      ward,
      witness,
      seal,
    }
  }
}

impl TSerializable for SealNotice {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<SealNotice> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i64> = None;
    let mut f_2: Option<i64> = None;
    let mut f_3: Option<Seal> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i64()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        3 => {
          let val = Seal::read_from_in_protocol(i_prot)?;
          f_3 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("SealNotice.ward", &f_1)?;
    verify_required_field_exists("SealNotice.witness", &f_2)?;
    verify_required_field_exists("SealNotice.seal", &f_3)?;
    let ret = SealNotice {
      ward: f_1.expect("auto-generated code should have checked for presence of required fields"),
      witness: f_2.expect("auto-generated code should have checked for presence of required fields"),
      seal: f_3.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("SealNotice");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("ward", TType::I64, 1))?;
    o_prot.write_i64(self.ward)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("witness", TType::I64, 2))?;
    o_prot.write_i64(self.witness)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("seal", TType::Struct, 3))?;
    self.seal.write_to_out_protocol(o_prot)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Entry
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Entry {
  pub key: String,
  pub version: i64,
  pub body: Vec<u8>,
  pub checksum: i64,
}

impl Entry {
  pub fn new(key: String, version: i64, body: Vec<u8>, checksum: i64) -> Entry {
    Entry {
      key,
      version,
      body,
      checksum,
    }
  }
}

impl TSerializable for Entry {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Entry> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    let mut f_2: Option<i64> = None;
    let mut f_3: Option<Vec<u8>> = None;
    let mut f_4: Option<i64> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_bytes()?;
          f_3 = Some(val);
        },
        4 => {
          let val = i_prot.read_i64()?;
          f_4 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Entry.key", &f_1)?;
    verify_required_field_exists("Entry.version", &f_2)?;
    verify_required_field_exists("Entry.body", &f_3)?;
    verify_required_field_exists("Entry.checksum", &f_4)?;
    let ret = Entry {
      key: f_1.expect("auto-generated code should have checked for presence of required fields"),
      version: f_2.expect("auto-generated code should have checked for presence of required fields"),
      body: f_3.expect("auto-generated code should have checked for presence of required fields"),
      checksum: f_4.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Entry");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("key", TType::String, 1))?;
    o_prot.write_string(&self.key)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("version", TType::I64, 2))?;
    o_prot.write_i64(self.version)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("body", TType::String, 3))?;
    o_prot.write_bytes(&self.body)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("checksum", TType::I64, 4))?;
    o_prot.write_i64(self.checksum)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// KeyVersion
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyVersion {
  pub key: String,
  pub version: i64,
}

impl KeyVersion {
  pub fn new(key: String, version: i64) -> KeyVersion {
    KeyVersion {
      key,
      version,
    }
  }
}

impl TSerializable for KeyVersion {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<KeyVersion> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    let mut f_2: Option<i64> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("KeyVersion.key", &f_1)?;
    verify_required_field_exists("KeyVersion.version", &f_2)?;
    let ret = KeyVersion {
      key: f_1.expect("auto-generated code should have checked for presence of required fields"),
      version: f_2.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("KeyVersion");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("key", TType::String, 1))?;
    o_prot.write_string(&self.key)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("version", TType::I64, 2))?;
    o_prot.write_i64(self.version)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Push
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Push {
  pub entries: Vec<Entry>,
}

impl Push {
  pub fn new(entries: Vec<Entry>) -> Push {
    Push {
      entries,
    }
  }
}

impl TSerializable for Push {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Push> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<Vec<Entry>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<Entry> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_3 = Entry::read_from_in_protocol(i_prot)?;
            val.push(list_elem_3);
          }
          i_prot.read_list_end()?;
          f_1 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Push.entries", &f_1)?;
    let ret = Push {
      entries: f_1.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Push");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("entries", TType::List, 1))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, self.entries.len() as i32))?;
    for e in &self.entries {
      e.write_to_out_protocol(o_prot)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// DigestQuery
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DigestQuery {
  pub digest: i64,
  pub buckets: Option<Vec<i16>>,
}

impl DigestQuery {
  pub fn new<F2>(digest: i64, buckets: F2) -> DigestQuery where F2: Into<Option<Vec<i16>>> {
    DigestQuery {
      digest,
      buckets: buckets.into(),
    }
  }
}

impl TSerializable for DigestQuery {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<DigestQuery> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i64> = None;
    let mut f_2: Option<Vec<i16>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i64()?;
          f_1 = Some(val);
        },
        2 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<i16> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_4 = i_prot.read_i16()?;
            val.push(list_elem_4);
          }
          i_prot.read_list_end()?;
          f_2 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("DigestQuery.digest", &f_1)?;
    let ret = DigestQuery {
      digest: f_1.expect("auto-generated code should have checked for presence of required fields"),
      buckets: f_2,
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("DigestQuery");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("digest", TType::I64, 1))?;
    o_prot.write_i64(self.digest)?;
    o_prot.write_field_end()?;
    if let Some(ref fld_var) = self.buckets {
      o_prot.write_field_begin(&TFieldIdentifier::new("buckets", TType::List, 2))?;
      o_prot.write_list_begin(&TListIdentifier::new(TType::I16, fld_var.len() as i32))?;
      for e in fld_var {
        o_prot.write_i16(*e)?;
      }
      o_prot.write_list_end()?;
      o_prot.write_field_end()?
    }
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// DigestAnswer
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DigestAnswer {
  pub same: bool,
  pub versions: Vec<KeyVersion>,
  pub bucket_digests: Option<Vec<i64>>,
}

impl DigestAnswer {
  pub fn new<F3>(same: bool, versions: Vec<KeyVersion>, bucket_digests: F3) -> DigestAnswer where F3: Into<Option<Vec<i64>>> {
    DigestAnswer {
      same,
      versions,
      bucket_digests: bucket_digests.into(),
    }
  }
}

impl TSerializable for DigestAnswer {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<DigestAnswer> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<bool> = None;
    let mut f_2: Option<Vec<KeyVersion>> = None;
    let mut f_3: Option<Vec<i64>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_bool()?;
          f_1 = Some(val);
        },
        2 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<KeyVersion> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_5 = KeyVersion::read_from_in_protocol(i_prot)?;
            val.push(list_elem_5);
          }
          i_prot.read_list_end()?;
          f_2 = Some(val);
        },
        3 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<i64> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_6 = i_prot.read_i64()?;
            val.push(list_elem_6);
          }
          i_prot.read_list_end()?;
          f_3 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("DigestAnswer.same", &f_1)?;
    verify_required_field_exists("DigestAnswer.versions", &f_2)?;
    let ret = DigestAnswer {
      same: f_1.expect("auto-generated code should have checked for presence of required fields"),
      versions: f_2.expect("auto-generated code should have checked for presence of required fields"),
      bucket_digests: f_3,
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("DigestAnswer");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("same", TType::Bool, 1))?;
    o_prot.write_bool(self.same)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("versions", TType::List, 2))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, self.versions.len() as i32))?;
    for e in &self.versions {
      e.write_to_out_protocol(o_prot)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    if let Some(ref fld_var) = self.bucket_digests {
      o_prot.write_field_begin(&TFieldIdentifier::new("bucket_digests", TType::List, 3))?;
      o_prot.write_list_begin(&TListIdentifier::new(TType::I64, fld_var.len() as i32))?;
      for e in fld_var {
        o_prot.write_i64(*e)?;
      }
      o_prot.write_list_end()?;
      o_prot.write_field_end()?
    }
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Fetch
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fetch {
  pub keys: Vec<String>,
}

impl Fetch {
  pub fn new(keys: Vec<String>) -> Fetch {
    Fetch {
      keys,
    }
  }
}

impl TSerializable for Fetch {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Fetch> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<Vec<String>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<String> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_7 = i_prot.read_string()?;
            val.push(list_elem_7);
          }
          i_prot.read_list_end()?;
          f_1 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Fetch.keys", &f_1)?;
    let ret = Fetch {
      keys: f_1.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Fetch");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("keys", TType::List, 1))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::String, self.keys.len() as i32))?;
    for e in &self.keys {
      o_prot.write_string(e)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Entries
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Entries {
  pub entries: Vec<Entry>,
}

impl Entries {
  pub fn new(entries: Vec<Entry>) -> Entries {
    Entries {
      entries,
    }
  }
}

impl TSerializable for Entries {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Entries> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<Vec<Entry>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<Entry> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_8 = Entry::read_from_in_protocol(i_prot)?;
            val.push(list_elem_8);
          }
          i_prot.read_list_end()?;
          f_1 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Entries.entries", &f_1)?;
    let ret = Entries {
      entries: f_1.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Entries");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("entries", TType::List, 1))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, self.entries.len() as i32))?;
    for e in &self.entries {
      e.write_to_out_protocol(o_prot)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// ReportQuery
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReportQuery {
}

impl ReportQuery {
  pub fn new() -> ReportQuery {
    ReportQuery {}
  }
}

impl TSerializable for ReportQuery {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<ReportQuery> {
    i_prot.read_struct_begin()?;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    let ret = ReportQuery {};
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("ReportQuery");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

impl Default for ReportQuery {
  fn default() -> Self {
    ReportQuery{}
  }
}

//
// Report
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Report {
  pub inventory_version: i64,
  pub rules_version: i64,
  pub age_ms: i64,
  pub digest: i64,
}

impl Report {
  pub fn new(inventory_version: i64, rules_version: i64, age_ms: i64, digest: i64) -> Report {
    Report {
      inventory_version,
      rules_version,
      age_ms,
      digest,
    }
  }
}

impl TSerializable for Report {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Report> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i64> = None;
    let mut f_2: Option<i64> = None;
    let mut f_3: Option<i64> = None;
    let mut f_4: Option<i64> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i64()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_i64()?;
          f_3 = Some(val);
        },
        4 => {
          let val = i_prot.read_i64()?;
          f_4 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Report.inventory_version", &f_1)?;
    verify_required_field_exists("Report.rules_version", &f_2)?;
    verify_required_field_exists("Report.age_ms", &f_3)?;
    verify_required_field_exists("Report.digest", &f_4)?;
    let ret = Report {
      inventory_version: f_1.expect("auto-generated code should have checked for presence of required fields"),
      rules_version: f_2.expect("auto-generated code should have checked for presence of required fields"),
      age_ms: f_3.expect("auto-generated code should have checked for presence of required fields"),
      digest: f_4.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Report");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("inventory_version", TType::I64, 1))?;
    o_prot.write_i64(self.inventory_version)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("rules_version", TType::I64, 2))?;
    o_prot.write_i64(self.rules_version)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("age_ms", TType::I64, 3))?;
    o_prot.write_i64(self.age_ms)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("digest", TType::I64, 4))?;
    o_prot.write_i64(self.digest)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// OutcomeQuery
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OutcomeQuery {
  pub request_id: String,
  pub age_ms: i64,
}

impl OutcomeQuery {
  pub fn new(request_id: String, age_ms: i64) -> OutcomeQuery {
    OutcomeQuery {
      request_id,
      age_ms,
    }
  }
}

impl TSerializable for OutcomeQuery {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<OutcomeQuery> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    let mut f_2: Option<i64> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("OutcomeQuery.request_id", &f_1)?;
    verify_required_field_exists("OutcomeQuery.age_ms", &f_2)?;
    let ret = OutcomeQuery {
      request_id: f_1.expect("auto-generated code should have checked for presence of required fields"),
      age_ms: f_2.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("OutcomeQuery");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("request_id", TType::String, 1))?;
    o_prot.write_string(&self.request_id)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("age_ms", TType::I64, 2))?;
    o_prot.write_i64(self.age_ms)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// OutcomeAnswer
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OutcomeAnswer {
  pub outcome: String,
  pub reason: String,
  pub status: i16,
}

impl OutcomeAnswer {
  pub fn new(outcome: String, reason: String, status: i16) -> OutcomeAnswer {
    OutcomeAnswer {
      outcome,
      reason,
      status,
    }
  }
}

impl TSerializable for OutcomeAnswer {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<OutcomeAnswer> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    let mut f_2: Option<String> = None;
    let mut f_3: Option<i16> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_string()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_i16()?;
          f_3 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("OutcomeAnswer.outcome", &f_1)?;
    verify_required_field_exists("OutcomeAnswer.reason", &f_2)?;
    verify_required_field_exists("OutcomeAnswer.status", &f_3)?;
    let ret = OutcomeAnswer {
      outcome: f_1.expect("auto-generated code should have checked for presence of required fields"),
      reason: f_2.expect("auto-generated code should have checked for presence of required fields"),
      status: f_3.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("OutcomeAnswer");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("outcome", TType::String, 1))?;
    o_prot.write_string(&self.outcome)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("reason", TType::String, 2))?;
    o_prot.write_string(&self.reason)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("status", TType::I16, 3))?;
    o_prot.write_i16(self.status)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// DedupEntry
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DedupEntry {
  pub idempotency_key: String,
  pub fingerprint: i64,
  pub age_ms: i64,
  pub outcome: String,
  pub status: i16,
  pub answer: Option<Vec<u8>>,
  pub content_type: String,
}

impl DedupEntry {
  pub fn new<F6>(idempotency_key: String, fingerprint: i64, age_ms: i64, outcome: String, status: i16, answer: F6, content_type: String) -> DedupEntry where F6: Into<Option<Vec<u8>>> {
    DedupEntry {
      idempotency_key,
      fingerprint,
      age_ms,
      outcome,
      status,
      answer: answer.into(),
      content_type,
    }
  }
}

impl TSerializable for DedupEntry {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<DedupEntry> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    let mut f_2: Option<i64> = None;
    let mut f_3: Option<i64> = None;
    let mut f_4: Option<String> = None;
    let mut f_5: Option<i16> = None;
    let mut f_6: Option<Vec<u8>> = None;
    let mut f_7: Option<String> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_i64()?;
          f_3 = Some(val);
        },
        4 => {
          let val = i_prot.read_string()?;
          f_4 = Some(val);
        },
        5 => {
          let val = i_prot.read_i16()?;
          f_5 = Some(val);
        },
        6 => {
          let val = i_prot.read_bytes()?;
          f_6 = Some(val);
        },
        7 => {
          let val = i_prot.read_string()?;
          f_7 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("DedupEntry.idempotency_key", &f_1)?;
    verify_required_field_exists("DedupEntry.fingerprint", &f_2)?;
    verify_required_field_exists("DedupEntry.age_ms", &f_3)?;
    verify_required_field_exists("DedupEntry.outcome", &f_4)?;
    verify_required_field_exists("DedupEntry.status", &f_5)?;
    verify_required_field_exists("DedupEntry.content_type", &f_7)?;
    let ret = DedupEntry {
      idempotency_key: f_1.expect("auto-generated code should have checked for presence of required fields"),
      fingerprint: f_2.expect("auto-generated code should have checked for presence of required fields"),
      age_ms: f_3.expect("auto-generated code should have checked for presence of required fields"),
      outcome: f_4.expect("auto-generated code should have checked for presence of required fields"),
      status: f_5.expect("auto-generated code should have checked for presence of required fields"),
      answer: f_6,
      content_type: f_7.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("DedupEntry");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("idempotency_key", TType::String, 1))?;
    o_prot.write_string(&self.idempotency_key)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("fingerprint", TType::I64, 2))?;
    o_prot.write_i64(self.fingerprint)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("age_ms", TType::I64, 3))?;
    o_prot.write_i64(self.age_ms)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("outcome", TType::String, 4))?;
    o_prot.write_string(&self.outcome)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("status", TType::I16, 5))?;
    o_prot.write_i16(self.status)?;
    o_prot.write_field_end()?;
    if let Some(ref fld_var) = self.answer {
      o_prot.write_field_begin(&TFieldIdentifier::new("answer", TType::String, 6))?;
      o_prot.write_bytes(fld_var)?;
      o_prot.write_field_end()?
    }
    o_prot.write_field_begin(&TFieldIdentifier::new("content_type", TType::String, 7))?;
    o_prot.write_string(&self.content_type)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Handover
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Handover {
  pub service_name: String,
  pub slot: i32,
  pub fence: i64,
  pub entries: Vec<DedupEntry>,
}

impl Handover {
  pub fn new(service_name: String, slot: i32, fence: i64, entries: Vec<DedupEntry>) -> Handover {
    Handover {
      service_name,
      slot,
      fence,
      entries,
    }
  }
}

impl TSerializable for Handover {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Handover> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    let mut f_2: Option<i32> = None;
    let mut f_3: Option<i64> = None;
    let mut f_4: Option<Vec<DedupEntry>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i32()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_i64()?;
          f_3 = Some(val);
        },
        4 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<DedupEntry> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_9 = DedupEntry::read_from_in_protocol(i_prot)?;
            val.push(list_elem_9);
          }
          i_prot.read_list_end()?;
          f_4 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Handover.service_name", &f_1)?;
    verify_required_field_exists("Handover.slot", &f_2)?;
    verify_required_field_exists("Handover.fence", &f_3)?;
    verify_required_field_exists("Handover.entries", &f_4)?;
    let ret = Handover {
      service_name: f_1.expect("auto-generated code should have checked for presence of required fields"),
      slot: f_2.expect("auto-generated code should have checked for presence of required fields"),
      fence: f_3.expect("auto-generated code should have checked for presence of required fields"),
      entries: f_4.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Handover");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("service_name", TType::String, 1))?;
    o_prot.write_string(&self.service_name)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("slot", TType::I32, 2))?;
    o_prot.write_i32(self.slot)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("fence", TType::I64, 3))?;
    o_prot.write_i64(self.fence)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("entries", TType::List, 4))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, self.entries.len() as i32))?;
    for e in &self.entries {
      e.write_to_out_protocol(o_prot)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// SlotLoad
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SlotLoad {
  pub slot: i32,
  pub requests_per_minute: i32,
}

impl SlotLoad {
  pub fn new(slot: i32, requests_per_minute: i32) -> SlotLoad {
    SlotLoad {
      slot,
      requests_per_minute,
    }
  }
}

impl TSerializable for SlotLoad {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<SlotLoad> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i32> = None;
    let mut f_2: Option<i32> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i32()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i32()?;
          f_2 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("SlotLoad.slot", &f_1)?;
    verify_required_field_exists("SlotLoad.requests_per_minute", &f_2)?;
    let ret = SlotLoad {
      slot: f_1.expect("auto-generated code should have checked for presence of required fields"),
      requests_per_minute: f_2.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("SlotLoad");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("slot", TType::I32, 1))?;
    o_prot.write_i32(self.slot)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("requests_per_minute", TType::I32, 2))?;
    o_prot.write_i32(self.requests_per_minute)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// KeyLoad
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyLoad {
  pub key_hash: i64,
  pub requests_per_minute: i32,
}

impl KeyLoad {
  pub fn new(key_hash: i64, requests_per_minute: i32) -> KeyLoad {
    KeyLoad {
      key_hash,
      requests_per_minute,
    }
  }
}

impl TSerializable for KeyLoad {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<KeyLoad> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i64> = None;
    let mut f_2: Option<i32> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i64()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i32()?;
          f_2 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("KeyLoad.key_hash", &f_1)?;
    verify_required_field_exists("KeyLoad.requests_per_minute", &f_2)?;
    let ret = KeyLoad {
      key_hash: f_1.expect("auto-generated code should have checked for presence of required fields"),
      requests_per_minute: f_2.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("KeyLoad");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("key_hash", TType::I64, 1))?;
    o_prot.write_i64(self.key_hash)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("requests_per_minute", TType::I32, 2))?;
    o_prot.write_i32(self.requests_per_minute)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// LoadReport
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LoadReport {
  pub node: i64,
  pub in_flight: i32,
  pub queued: i32,
  pub limit: i32,
  pub cold: bool,
  pub draining: bool,
  pub slots: Vec<SlotLoad>,
  pub keys: Vec<KeyLoad>,
}

impl LoadReport {
  pub fn new(node: i64, in_flight: i32, queued: i32, limit: i32, cold: bool, draining: bool, slots: Vec<SlotLoad>, keys: Vec<KeyLoad>) -> LoadReport {
    LoadReport {
      node,
      in_flight,
      queued,
      limit,
      cold,
      draining,
      slots,
      keys,
    }
  }
}

impl TSerializable for LoadReport {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<LoadReport> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i64> = None;
    let mut f_2: Option<i32> = None;
    let mut f_3: Option<i32> = None;
    let mut f_4: Option<i32> = None;
    let mut f_5: Option<bool> = None;
    let mut f_6: Option<bool> = None;
    let mut f_7: Option<Vec<SlotLoad>> = None;
    let mut f_8: Option<Vec<KeyLoad>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i64()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i32()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_i32()?;
          f_3 = Some(val);
        },
        4 => {
          let val = i_prot.read_i32()?;
          f_4 = Some(val);
        },
        5 => {
          let val = i_prot.read_bool()?;
          f_5 = Some(val);
        },
        6 => {
          let val = i_prot.read_bool()?;
          f_6 = Some(val);
        },
        7 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<SlotLoad> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_10 = SlotLoad::read_from_in_protocol(i_prot)?;
            val.push(list_elem_10);
          }
          i_prot.read_list_end()?;
          f_7 = Some(val);
        },
        8 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<KeyLoad> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_11 = KeyLoad::read_from_in_protocol(i_prot)?;
            val.push(list_elem_11);
          }
          i_prot.read_list_end()?;
          f_8 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("LoadReport.node", &f_1)?;
    verify_required_field_exists("LoadReport.in_flight", &f_2)?;
    verify_required_field_exists("LoadReport.queued", &f_3)?;
    verify_required_field_exists("LoadReport.limit", &f_4)?;
    verify_required_field_exists("LoadReport.cold", &f_5)?;
    verify_required_field_exists("LoadReport.draining", &f_6)?;
    verify_required_field_exists("LoadReport.slots", &f_7)?;
    verify_required_field_exists("LoadReport.keys", &f_8)?;
    let ret = LoadReport {
      node: f_1.expect("auto-generated code should have checked for presence of required fields"),
      in_flight: f_2.expect("auto-generated code should have checked for presence of required fields"),
      queued: f_3.expect("auto-generated code should have checked for presence of required fields"),
      limit: f_4.expect("auto-generated code should have checked for presence of required fields"),
      cold: f_5.expect("auto-generated code should have checked for presence of required fields"),
      draining: f_6.expect("auto-generated code should have checked for presence of required fields"),
      slots: f_7.expect("auto-generated code should have checked for presence of required fields"),
      keys: f_8.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("LoadReport");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("node", TType::I64, 1))?;
    o_prot.write_i64(self.node)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("in_flight", TType::I32, 2))?;
    o_prot.write_i32(self.in_flight)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("queued", TType::I32, 3))?;
    o_prot.write_i32(self.queued)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("limit", TType::I32, 4))?;
    o_prot.write_i32(self.limit)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("cold", TType::Bool, 5))?;
    o_prot.write_bool(self.cold)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("draining", TType::Bool, 6))?;
    o_prot.write_bool(self.draining)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("slots", TType::List, 7))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, self.slots.len() as i32))?;
    for e in &self.slots {
      e.write_to_out_protocol(o_prot)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("keys", TType::List, 8))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, self.keys.len() as i32))?;
    for e in &self.keys {
      e.write_to_out_protocol(o_prot)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// SlotMove
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SlotMove {
  pub slot: i32,
  pub to: i64,
}

impl SlotMove {
  pub fn new(slot: i32, to: i64) -> SlotMove {
    SlotMove {
      slot,
      to,
    }
  }
}

impl TSerializable for SlotMove {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<SlotMove> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i32> = None;
    let mut f_2: Option<i64> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i32()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("SlotMove.slot", &f_1)?;
    verify_required_field_exists("SlotMove.to", &f_2)?;
    let ret = SlotMove {
      slot: f_1.expect("auto-generated code should have checked for presence of required fields"),
      to: f_2.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("SlotMove");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("slot", TType::I32, 1))?;
    o_prot.write_i32(self.slot)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("to", TType::I64, 2))?;
    o_prot.write_i64(self.to)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Proposal
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Proposal {
  pub service_name: String,
  pub moves: Vec<SlotMove>,
  pub splits: Vec<i64>,
  pub merges: Vec<i32>,
}

impl Proposal {
  pub fn new(service_name: String, moves: Vec<SlotMove>, splits: Vec<i64>, merges: Vec<i32>) -> Proposal {
    Proposal {
      service_name,
      moves,
      splits,
      merges,
    }
  }
}

impl TSerializable for Proposal {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Proposal> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    let mut f_2: Option<Vec<SlotMove>> = None;
    let mut f_3: Option<Vec<i64>> = None;
    let mut f_4: Option<Vec<i32>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        2 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<SlotMove> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_12 = SlotMove::read_from_in_protocol(i_prot)?;
            val.push(list_elem_12);
          }
          i_prot.read_list_end()?;
          f_2 = Some(val);
        },
        3 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<i64> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_13 = i_prot.read_i64()?;
            val.push(list_elem_13);
          }
          i_prot.read_list_end()?;
          f_3 = Some(val);
        },
        4 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<i32> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_14 = i_prot.read_i32()?;
            val.push(list_elem_14);
          }
          i_prot.read_list_end()?;
          f_4 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Proposal.service_name", &f_1)?;
    verify_required_field_exists("Proposal.moves", &f_2)?;
    verify_required_field_exists("Proposal.splits", &f_3)?;
    verify_required_field_exists("Proposal.merges", &f_4)?;
    let ret = Proposal {
      service_name: f_1.expect("auto-generated code should have checked for presence of required fields"),
      moves: f_2.expect("auto-generated code should have checked for presence of required fields"),
      splits: f_3.expect("auto-generated code should have checked for presence of required fields"),
      merges: f_4.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Proposal");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("service_name", TType::String, 1))?;
    o_prot.write_string(&self.service_name)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("moves", TType::List, 2))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, self.moves.len() as i32))?;
    for e in &self.moves {
      e.write_to_out_protocol(o_prot)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("splits", TType::List, 3))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::I64, self.splits.len() as i32))?;
    for e in &self.splits {
      o_prot.write_i64(*e)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("merges", TType::List, 4))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::I32, self.merges.len() as i32))?;
    for e in &self.merges {
      o_prot.write_i32(*e)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Done
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Done {
}

impl Done {
  pub fn new() -> Done {
    Done {}
  }
}

impl TSerializable for Done {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Done> {
    i_prot.read_struct_begin()?;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    let ret = Done {};
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Done");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

impl Default for Done {
  fn default() -> Self {
    Done{}
  }
}

//
// Failed
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Failed {
  pub message: String,
}

impl Failed {
  pub fn new(message: String) -> Failed {
    Failed {
      message,
    }
  }
}

impl TSerializable for Failed {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Failed> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Failed.message", &f_1)?;
    let ret = Failed {
      message: f_1.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Failed");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("message", TType::String, 1))?;
    o_prot.write_string(&self.message)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Request
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Request {
  Heartbeat(Heartbeat),
  SealQuery(SealQuery),
  SealNotice(SealNotice),
  Push(Push),
  DigestQuery(DigestQuery),
  Fetch(Fetch),
  OutcomeQuery(OutcomeQuery),
  Handover(Handover),
  LoadReport(LoadReport),
  Proposal(Proposal),
  ReportQuery(ReportQuery),
}

impl TSerializable for Request {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Request> {
    let mut ret: Option<Request> = None;
    let mut received_field_count = 0;
    i_prot.read_struct_begin()?;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = Heartbeat::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Request::Heartbeat(val));
          }
          received_field_count += 1;
        },
        2 => {
          let val = SealQuery::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Request::SealQuery(val));
          }
          received_field_count += 1;
        },
        3 => {
          let val = SealNotice::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Request::SealNotice(val));
          }
          received_field_count += 1;
        },
        4 => {
          let val = Push::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Request::Push(val));
          }
          received_field_count += 1;
        },
        5 => {
          let val = DigestQuery::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Request::DigestQuery(val));
          }
          received_field_count += 1;
        },
        6 => {
          let val = Fetch::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Request::Fetch(val));
          }
          received_field_count += 1;
        },
        7 => {
          let val = OutcomeQuery::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Request::OutcomeQuery(val));
          }
          received_field_count += 1;
        },
        8 => {
          let val = Handover::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Request::Handover(val));
          }
          received_field_count += 1;
        },
        9 => {
          let val = LoadReport::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Request::LoadReport(val));
          }
          received_field_count += 1;
        },
        10 => {
          let val = Proposal::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Request::Proposal(val));
          }
          received_field_count += 1;
        },
        11 => {
          let val = ReportQuery::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Request::ReportQuery(val));
          }
          received_field_count += 1;
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
          received_field_count += 1;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    if received_field_count == 0 {
      Err(
        thrift::Error::Protocol(
          ProtocolError::new(
            ProtocolErrorKind::InvalidData,
            "received empty union from remote Request"
          )
        )
      )
    } else if received_field_count > 1 {
      Err(
        thrift::Error::Protocol(
          ProtocolError::new(
            ProtocolErrorKind::InvalidData,
            "received multiple fields for union from remote Request"
          )
        )
      )
    } else {
      ret.ok_or_else(|| ProtocolError::new(ProtocolErrorKind::NotImplemented, "received an unknown field for union").into())
    }
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Request");
    o_prot.write_struct_begin(&struct_ident)?;
    match *self {
      Request::Heartbeat(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("heartbeat", TType::Struct, 1))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Request::SealQuery(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("seal_query", TType::Struct, 2))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Request::SealNotice(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("seal_notice", TType::Struct, 3))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Request::Push(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("push", TType::Struct, 4))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Request::DigestQuery(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("digest_query", TType::Struct, 5))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Request::Fetch(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("fetch", TType::Struct, 6))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Request::OutcomeQuery(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("outcome_query", TType::Struct, 7))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Request::Handover(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("handover", TType::Struct, 8))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Request::LoadReport(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("load_report", TType::Struct, 9))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Request::Proposal(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("proposal", TType::Struct, 10))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Request::ReportQuery(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("report_query", TType::Struct, 11))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
    }
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Response
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Response {
  HeartbeatAck(HeartbeatAck),
  Seal(Seal),
  Done(Done),
  DigestAnswer(DigestAnswer),
  Entries(Entries),
  OutcomeAnswer(OutcomeAnswer),
  Failed(Failed),
  Report(Report),
}

impl TSerializable for Response {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Response> {
    let mut ret: Option<Response> = None;
    let mut received_field_count = 0;
    i_prot.read_struct_begin()?;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = HeartbeatAck::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Response::HeartbeatAck(val));
          }
          received_field_count += 1;
        },
        2 => {
          let val = Seal::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Response::Seal(val));
          }
          received_field_count += 1;
        },
        3 => {
          let val = Done::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Response::Done(val));
          }
          received_field_count += 1;
        },
        4 => {
          let val = DigestAnswer::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Response::DigestAnswer(val));
          }
          received_field_count += 1;
        },
        5 => {
          let val = Entries::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Response::Entries(val));
          }
          received_field_count += 1;
        },
        6 => {
          let val = OutcomeAnswer::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Response::OutcomeAnswer(val));
          }
          received_field_count += 1;
        },
        7 => {
          let val = Failed::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Response::Failed(val));
          }
          received_field_count += 1;
        },
        8 => {
          let val = Report::read_from_in_protocol(i_prot)?;
          if ret.is_none() {
            ret = Some(Response::Report(val));
          }
          received_field_count += 1;
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
          received_field_count += 1;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    if received_field_count == 0 {
      Err(
        thrift::Error::Protocol(
          ProtocolError::new(
            ProtocolErrorKind::InvalidData,
            "received empty union from remote Response"
          )
        )
      )
    } else if received_field_count > 1 {
      Err(
        thrift::Error::Protocol(
          ProtocolError::new(
            ProtocolErrorKind::InvalidData,
            "received multiple fields for union from remote Response"
          )
        )
      )
    } else {
      ret.ok_or_else(|| ProtocolError::new(ProtocolErrorKind::NotImplemented, "received an unknown field for union").into())
    }
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Response");
    o_prot.write_struct_begin(&struct_ident)?;
    match *self {
      Response::HeartbeatAck(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("heartbeat_ack", TType::Struct, 1))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Response::Seal(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("seal", TType::Struct, 2))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Response::Done(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("done", TType::Struct, 3))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Response::DigestAnswer(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("digest_answer", TType::Struct, 4))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Response::Entries(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("entries", TType::Struct, 5))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Response::OutcomeAnswer(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("outcome_answer", TType::Struct, 6))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Response::Failed(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("failed", TType::Struct, 7))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
      Response::Report(ref f) => {
        o_prot.write_field_begin(&TFieldIdentifier::new("report", TType::Struct, 8))?;
        f.write_to_out_protocol(o_prot)?;
        o_prot.write_field_end()?;
      },
    }
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Hello
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Hello {
  pub incarnation: i64,
  pub nonce: Vec<u8>,
}

impl Hello {
  pub fn new(incarnation: i64, nonce: Vec<u8>) -> Hello {
    Hello {
      incarnation,
      nonce,
    }
  }
}

impl TSerializable for Hello {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Hello> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i64> = None;
    let mut f_2: Option<Vec<u8>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i64()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_bytes()?;
          f_2 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Hello.incarnation", &f_1)?;
    verify_required_field_exists("Hello.nonce", &f_2)?;
    let ret = Hello {
      incarnation: f_1.expect("auto-generated code should have checked for presence of required fields"),
      nonce: f_2.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Hello");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("incarnation", TType::I64, 1))?;
    o_prot.write_i64(self.incarnation)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("nonce", TType::String, 2))?;
    o_prot.write_bytes(&self.nonce)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Proof
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Proof {
  pub mac: Vec<u8>,
}

impl Proof {
  pub fn new(mac: Vec<u8>) -> Proof {
    Proof {
      mac,
    }
  }
}

impl TSerializable for Proof {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Proof> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<Vec<u8>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_bytes()?;
          f_1 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Proof.mac", &f_1)?;
    let ret = Proof {
      mac: f_1.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Proof");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("mac", TType::String, 1))?;
    o_prot.write_bytes(&self.mac)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Call
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Call {
  pub id: i64,
  pub request: Request,
}

impl Call {
  pub fn new(id: i64, request: Request) -> Call {
    Call {
      id,
      request,
    }
  }
}

impl TSerializable for Call {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Call> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i64> = None;
    let mut f_2: Option<Request> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i64()?;
          f_1 = Some(val);
        },
        2 => {
          let val = Request::read_from_in_protocol(i_prot)?;
          f_2 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Call.id", &f_1)?;
    verify_required_field_exists("Call.request", &f_2)?;
    let ret = Call {
      id: f_1.expect("auto-generated code should have checked for presence of required fields"),
      request: f_2.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Call");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("id", TType::I64, 1))?;
    o_prot.write_i64(self.id)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("request", TType::Struct, 2))?;
    self.request.write_to_out_protocol(o_prot)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Reply
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Reply {
  pub id: i64,
  pub response: Response,
}

impl Reply {
  pub fn new(id: i64, response: Response) -> Reply {
    Reply {
      id,
      response,
    }
  }
}

impl TSerializable for Reply {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Reply> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i64> = None;
    let mut f_2: Option<Response> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i64()?;
          f_1 = Some(val);
        },
        2 => {
          let val = Response::read_from_in_protocol(i_prot)?;
          f_2 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Reply.id", &f_1)?;
    verify_required_field_exists("Reply.response", &f_2)?;
    let ret = Reply {
      id: f_1.expect("auto-generated code should have checked for presence of required fields"),
      response: f_2.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Reply");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("id", TType::I64, 1))?;
    o_prot.write_i64(self.id)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("response", TType::Struct, 2))?;
    self.response.write_to_out_protocol(o_prot)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// UpstreamPresence
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamPresence {
  pub id: String,
  pub born_ms: i64,
  pub draining: bool,
  pub slots: i32,
  pub load: i32,
  pub service_time_us: i32,
  pub cold_left_ms: i32,
}

impl UpstreamPresence {
  pub fn new(id: String, born_ms: i64, draining: bool, slots: i32, load: i32, service_time_us: i32, cold_left_ms: i32) -> UpstreamPresence {
    UpstreamPresence {
      id,
      born_ms,
      draining,
      slots,
      load,
      service_time_us,
      cold_left_ms,
    }
  }
}

impl TSerializable for UpstreamPresence {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<UpstreamPresence> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    let mut f_2: Option<i64> = None;
    let mut f_3: Option<bool> = None;
    let mut f_4: Option<i32> = None;
    let mut f_5: Option<i32> = None;
    let mut f_6: Option<i32> = None;
    let mut f_7: Option<i32> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_bool()?;
          f_3 = Some(val);
        },
        4 => {
          let val = i_prot.read_i32()?;
          f_4 = Some(val);
        },
        5 => {
          let val = i_prot.read_i32()?;
          f_5 = Some(val);
        },
        6 => {
          let val = i_prot.read_i32()?;
          f_6 = Some(val);
        },
        7 => {
          let val = i_prot.read_i32()?;
          f_7 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("UpstreamPresence.id", &f_1)?;
    verify_required_field_exists("UpstreamPresence.born_ms", &f_2)?;
    verify_required_field_exists("UpstreamPresence.draining", &f_3)?;
    verify_required_field_exists("UpstreamPresence.slots", &f_4)?;
    verify_required_field_exists("UpstreamPresence.load", &f_5)?;
    verify_required_field_exists("UpstreamPresence.service_time_us", &f_6)?;
    verify_required_field_exists("UpstreamPresence.cold_left_ms", &f_7)?;
    let ret = UpstreamPresence {
      id: f_1.expect("auto-generated code should have checked for presence of required fields"),
      born_ms: f_2.expect("auto-generated code should have checked for presence of required fields"),
      draining: f_3.expect("auto-generated code should have checked for presence of required fields"),
      slots: f_4.expect("auto-generated code should have checked for presence of required fields"),
      load: f_5.expect("auto-generated code should have checked for presence of required fields"),
      service_time_us: f_6.expect("auto-generated code should have checked for presence of required fields"),
      cold_left_ms: f_7.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("UpstreamPresence");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("id", TType::String, 1))?;
    o_prot.write_string(&self.id)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("born_ms", TType::I64, 2))?;
    o_prot.write_i64(self.born_ms)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("draining", TType::Bool, 3))?;
    o_prot.write_bool(self.draining)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("slots", TType::I32, 4))?;
    o_prot.write_i32(self.slots)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("load", TType::I32, 5))?;
    o_prot.write_i32(self.load)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("service_time_us", TType::I32, 6))?;
    o_prot.write_i32(self.service_time_us)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("cold_left_ms", TType::I32, 7))?;
    o_prot.write_i32(self.cold_left_ms)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// RangeMapEpoch
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RangeMapEpoch {
  pub service_name: String,
  pub epoch: i64,
}

impl RangeMapEpoch {
  pub fn new(service_name: String, epoch: i64) -> RangeMapEpoch {
    RangeMapEpoch {
      service_name,
      epoch,
    }
  }
}

impl TSerializable for RangeMapEpoch {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<RangeMapEpoch> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    let mut f_3: Option<i64> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        3 => {
          let val = i_prot.read_i64()?;
          f_3 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("RangeMapEpoch.service_name", &f_1)?;
    verify_required_field_exists("RangeMapEpoch.epoch", &f_3)?;
    let ret = RangeMapEpoch {
      service_name: f_1.expect("auto-generated code should have checked for presence of required fields"),
      epoch: f_3.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("RangeMapEpoch");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("service_name", TType::String, 1))?;
    o_prot.write_string(&self.service_name)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("epoch", TType::I64, 3))?;
    o_prot.write_i64(self.epoch)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// RangeAssignment
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RangeAssignment {
  pub first: i32,
  pub last: i32,
  pub fence: i64,
  pub owner_node: Option<String>,
  pub owner_id: Option<String>,
  pub owner_born_ms: Option<i64>,
  pub handover: Option<String>,
}

impl RangeAssignment {
  pub fn new<F4, F5, F6, F7>(first: i32, last: i32, fence: i64, owner_node: F4, owner_id: F5, owner_born_ms: F6, handover: F7) -> RangeAssignment where F4: Into<Option<String>>, F5: Into<Option<String>>, F6: Into<Option<i64>>, F7: Into<Option<String>> {
    RangeAssignment {
      first,
      last,
      fence,
      owner_node: owner_node.into(),
      owner_id: owner_id.into(),
      owner_born_ms: owner_born_ms.into(),
      handover: handover.into(),
    }
  }
}

impl TSerializable for RangeAssignment {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<RangeAssignment> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<i32> = None;
    let mut f_2: Option<i32> = None;
    let mut f_3: Option<i64> = None;
    let mut f_4: Option<String> = None;
    let mut f_5: Option<String> = None;
    let mut f_6: Option<i64> = None;
    let mut f_7: Option<String> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_i32()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i32()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_i64()?;
          f_3 = Some(val);
        },
        4 => {
          let val = i_prot.read_string()?;
          f_4 = Some(val);
        },
        5 => {
          let val = i_prot.read_string()?;
          f_5 = Some(val);
        },
        6 => {
          let val = i_prot.read_i64()?;
          f_6 = Some(val);
        },
        7 => {
          let val = i_prot.read_string()?;
          f_7 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("RangeAssignment.first", &f_1)?;
    verify_required_field_exists("RangeAssignment.last", &f_2)?;
    verify_required_field_exists("RangeAssignment.fence", &f_3)?;
    let ret = RangeAssignment {
      first: f_1.expect("auto-generated code should have checked for presence of required fields"),
      last: f_2.expect("auto-generated code should have checked for presence of required fields"),
      fence: f_3.expect("auto-generated code should have checked for presence of required fields"),
      owner_node: f_4,
      owner_id: f_5,
      owner_born_ms: f_6,
      handover: f_7,
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("RangeAssignment");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("first", TType::I32, 1))?;
    o_prot.write_i32(self.first)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("last", TType::I32, 2))?;
    o_prot.write_i32(self.last)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("fence", TType::I64, 3))?;
    o_prot.write_i64(self.fence)?;
    o_prot.write_field_end()?;
    if let Some(ref fld_var) = self.owner_node {
      o_prot.write_field_begin(&TFieldIdentifier::new("owner_node", TType::String, 4))?;
      o_prot.write_string(fld_var)?;
      o_prot.write_field_end()?
    }
    if let Some(ref fld_var) = self.owner_id {
      o_prot.write_field_begin(&TFieldIdentifier::new("owner_id", TType::String, 5))?;
      o_prot.write_string(fld_var)?;
      o_prot.write_field_end()?
    }
    if let Some(fld_var) = self.owner_born_ms {
      o_prot.write_field_begin(&TFieldIdentifier::new("owner_born_ms", TType::I64, 6))?;
      o_prot.write_i64(fld_var)?;
      o_prot.write_field_end()?
    }
    if let Some(ref fld_var) = self.handover {
      o_prot.write_field_begin(&TFieldIdentifier::new("handover", TType::String, 7))?;
      o_prot.write_string(fld_var)?;
      o_prot.write_field_end()?
    }
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// RangeMapChange
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RangeMapChange {
  pub service_name: String,
  pub section: i32,
  pub version: i64,
  pub from_epoch: i64,
  pub to_epoch: i64,
  pub assignments: Vec<RangeAssignment>,
}

impl RangeMapChange {
  pub fn new(service_name: String, section: i32, version: i64, from_epoch: i64, to_epoch: i64, assignments: Vec<RangeAssignment>) -> RangeMapChange {
    RangeMapChange {
      service_name,
      section,
      version,
      from_epoch,
      to_epoch,
      assignments,
    }
  }
}

impl TSerializable for RangeMapChange {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<RangeMapChange> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    let mut f_2: Option<i32> = None;
    let mut f_3: Option<i64> = None;
    let mut f_4: Option<i64> = None;
    let mut f_5: Option<i64> = None;
    let mut f_6: Option<Vec<RangeAssignment>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i32()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_i64()?;
          f_3 = Some(val);
        },
        4 => {
          let val = i_prot.read_i64()?;
          f_4 = Some(val);
        },
        5 => {
          let val = i_prot.read_i64()?;
          f_5 = Some(val);
        },
        6 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<RangeAssignment> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_15 = RangeAssignment::read_from_in_protocol(i_prot)?;
            val.push(list_elem_15);
          }
          i_prot.read_list_end()?;
          f_6 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("RangeMapChange.service_name", &f_1)?;
    verify_required_field_exists("RangeMapChange.section", &f_2)?;
    verify_required_field_exists("RangeMapChange.version", &f_3)?;
    verify_required_field_exists("RangeMapChange.from_epoch", &f_4)?;
    verify_required_field_exists("RangeMapChange.to_epoch", &f_5)?;
    verify_required_field_exists("RangeMapChange.assignments", &f_6)?;
    let ret = RangeMapChange {
      service_name: f_1.expect("auto-generated code should have checked for presence of required fields"),
      section: f_2.expect("auto-generated code should have checked for presence of required fields"),
      version: f_3.expect("auto-generated code should have checked for presence of required fields"),
      from_epoch: f_4.expect("auto-generated code should have checked for presence of required fields"),
      to_epoch: f_5.expect("auto-generated code should have checked for presence of required fields"),
      assignments: f_6.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("RangeMapChange");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("service_name", TType::String, 1))?;
    o_prot.write_string(&self.service_name)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("section", TType::I32, 2))?;
    o_prot.write_i32(self.section)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("version", TType::I64, 3))?;
    o_prot.write_i64(self.version)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("from_epoch", TType::I64, 4))?;
    o_prot.write_i64(self.from_epoch)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("to_epoch", TType::I64, 5))?;
    o_prot.write_i64(self.to_epoch)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("assignments", TType::List, 6))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, self.assignments.len() as i32))?;
    for e in &self.assignments {
      e.write_to_out_protocol(o_prot)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// RequestCrashes
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestCrashes {
  pub fingerprint: Vec<u8>,
  pub clearings: i32,
  pub crashes: i32,
  pub crashed_ms: i64,
}

impl RequestCrashes {
  pub fn new(fingerprint: Vec<u8>, clearings: i32, crashes: i32, crashed_ms: i64) -> RequestCrashes {
    RequestCrashes {
      fingerprint,
      clearings,
      crashes,
      crashed_ms,
    }
  }
}

impl TSerializable for RequestCrashes {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<RequestCrashes> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<Vec<u8>> = None;
    let mut f_2: Option<i32> = None;
    let mut f_3: Option<i32> = None;
    let mut f_4: Option<i64> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_bytes()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i32()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_i32()?;
          f_3 = Some(val);
        },
        4 => {
          let val = i_prot.read_i64()?;
          f_4 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("RequestCrashes.fingerprint", &f_1)?;
    verify_required_field_exists("RequestCrashes.clearings", &f_2)?;
    verify_required_field_exists("RequestCrashes.crashes", &f_3)?;
    verify_required_field_exists("RequestCrashes.crashed_ms", &f_4)?;
    let ret = RequestCrashes {
      fingerprint: f_1.expect("auto-generated code should have checked for presence of required fields"),
      clearings: f_2.expect("auto-generated code should have checked for presence of required fields"),
      crashes: f_3.expect("auto-generated code should have checked for presence of required fields"),
      crashed_ms: f_4.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("RequestCrashes");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("fingerprint", TType::String, 1))?;
    o_prot.write_bytes(&self.fingerprint)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("clearings", TType::I32, 2))?;
    o_prot.write_i32(self.clearings)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("crashes", TType::I32, 3))?;
    o_prot.write_i32(self.crashes)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("crashed_ms", TType::I64, 4))?;
    o_prot.write_i64(self.crashed_ms)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Evacuation
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Evacuation {
  pub data_centre: String,
  pub handover_left_ms: i32,
}

impl Evacuation {
  pub fn new(data_centre: String, handover_left_ms: i32) -> Evacuation {
    Evacuation {
      data_centre,
      handover_left_ms,
    }
  }
}

impl TSerializable for Evacuation {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Evacuation> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    let mut f_2: Option<i32> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i32()?;
          f_2 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Evacuation.data_centre", &f_1)?;
    verify_required_field_exists("Evacuation.handover_left_ms", &f_2)?;
    let ret = Evacuation {
      data_centre: f_1.expect("auto-generated code should have checked for presence of required fields"),
      handover_left_ms: f_2.expect("auto-generated code should have checked for presence of required fields"),
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Evacuation");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("data_centre", TType::String, 1))?;
    o_prot.write_string(&self.data_centre)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("handover_left_ms", TType::I32, 2))?;
    o_prot.write_i32(self.handover_left_ms)?;
    o_prot.write_field_end()?;
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

//
// Presence
//

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Presence {
  pub node: String,
  pub incarnation: i64,
  pub sequence: i64,
  pub data_centre: String,
  pub gate_port: i32,
  pub service_name: Option<String>,
  pub upstream: Option<UpstreamPresence>,
  pub config_version: i64,
  pub maps: Vec<RangeMapEpoch>,
  pub leaving: bool,
  pub lease_version: i64,
  pub map_changes: Option<Vec<RangeMapChange>>,
  pub crashes_digest: Option<i64>,
  pub crashes: Option<Vec<RequestCrashes>>,
  pub evacuations_version: Option<i64>,
  pub evacuations: Option<Vec<Evacuation>>,
}

impl Presence {
  pub fn new<F6, F7, F12, F13, F14, F15, F16>(node: String, incarnation: i64, sequence: i64, data_centre: String, gate_port: i32, service_name: F6, upstream: F7, config_version: i64, maps: Vec<RangeMapEpoch>, leaving: bool, lease_version: i64, map_changes: F12, crashes_digest: F13, crashes: F14, evacuations_version: F15, evacuations: F16) -> Presence where F6: Into<Option<String>>, F7: Into<Option<UpstreamPresence>>, F12: Into<Option<Vec<RangeMapChange>>>, F13: Into<Option<i64>>, F14: Into<Option<Vec<RequestCrashes>>>, F15: Into<Option<i64>>, F16: Into<Option<Vec<Evacuation>>> {
    Presence {
      node,
      incarnation,
      sequence,
      data_centre,
      gate_port,
      service_name: service_name.into(),
      upstream: upstream.into(),
      config_version,
      maps,
      leaving,
      lease_version,
      map_changes: map_changes.into(),
      crashes_digest: crashes_digest.into(),
      crashes: crashes.into(),
      evacuations_version: evacuations_version.into(),
      evacuations: evacuations.into(),
    }
  }
}

impl TSerializable for Presence {
  fn read_from_in_protocol(i_prot: &mut dyn TInputProtocol) -> thrift::Result<Presence> {
    i_prot.read_struct_begin()?;
    let mut f_1: Option<String> = None;
    let mut f_2: Option<i64> = None;
    let mut f_3: Option<i64> = None;
    let mut f_4: Option<String> = None;
    let mut f_5: Option<i32> = None;
    let mut f_6: Option<String> = None;
    let mut f_7: Option<UpstreamPresence> = None;
    let mut f_8: Option<i64> = None;
    let mut f_9: Option<Vec<RangeMapEpoch>> = None;
    let mut f_10: Option<bool> = None;
    let mut f_11: Option<i64> = None;
    let mut f_12: Option<Vec<RangeMapChange>> = None;
    let mut f_13: Option<i64> = None;
    let mut f_14: Option<Vec<RequestCrashes>> = None;
    let mut f_15: Option<i64> = None;
    let mut f_16: Option<Vec<Evacuation>> = None;
    loop {
      let field_ident = i_prot.read_field_begin()?;
      if field_ident.field_type == TType::Stop {
        break;
      }
      let field_id = field_id(&field_ident)?;
      match field_id {
        1 => {
          let val = i_prot.read_string()?;
          f_1 = Some(val);
        },
        2 => {
          let val = i_prot.read_i64()?;
          f_2 = Some(val);
        },
        3 => {
          let val = i_prot.read_i64()?;
          f_3 = Some(val);
        },
        4 => {
          let val = i_prot.read_string()?;
          f_4 = Some(val);
        },
        5 => {
          let val = i_prot.read_i32()?;
          f_5 = Some(val);
        },
        6 => {
          let val = i_prot.read_string()?;
          f_6 = Some(val);
        },
        7 => {
          let val = UpstreamPresence::read_from_in_protocol(i_prot)?;
          f_7 = Some(val);
        },
        8 => {
          let val = i_prot.read_i64()?;
          f_8 = Some(val);
        },
        9 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<RangeMapEpoch> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_16 = RangeMapEpoch::read_from_in_protocol(i_prot)?;
            val.push(list_elem_16);
          }
          i_prot.read_list_end()?;
          f_9 = Some(val);
        },
        10 => {
          let val = i_prot.read_bool()?;
          f_10 = Some(val);
        },
        11 => {
          let val = i_prot.read_i64()?;
          f_11 = Some(val);
        },
        12 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<RangeMapChange> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_17 = RangeMapChange::read_from_in_protocol(i_prot)?;
            val.push(list_elem_17);
          }
          i_prot.read_list_end()?;
          f_12 = Some(val);
        },
        13 => {
          let val = i_prot.read_i64()?;
          f_13 = Some(val);
        },
        14 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<RequestCrashes> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_18 = RequestCrashes::read_from_in_protocol(i_prot)?;
            val.push(list_elem_18);
          }
          i_prot.read_list_end()?;
          f_14 = Some(val);
        },
        15 => {
          let val = i_prot.read_i64()?;
          f_15 = Some(val);
        },
        16 => {
          let list_ident = i_prot.read_list_begin()?;
          let mut val: Vec<Evacuation> = Vec::with_capacity(list_ident.size as usize);
          for _ in 0..list_ident.size {
            let list_elem_19 = Evacuation::read_from_in_protocol(i_prot)?;
            val.push(list_elem_19);
          }
          i_prot.read_list_end()?;
          f_16 = Some(val);
        },
        _ => {
          i_prot.skip(field_ident.field_type)?;
        },
      };
      i_prot.read_field_end()?;
    }
    i_prot.read_struct_end()?;
    verify_required_field_exists("Presence.node", &f_1)?;
    verify_required_field_exists("Presence.incarnation", &f_2)?;
    verify_required_field_exists("Presence.sequence", &f_3)?;
    verify_required_field_exists("Presence.data_centre", &f_4)?;
    verify_required_field_exists("Presence.gate_port", &f_5)?;
    verify_required_field_exists("Presence.config_version", &f_8)?;
    verify_required_field_exists("Presence.maps", &f_9)?;
    verify_required_field_exists("Presence.leaving", &f_10)?;
    verify_required_field_exists("Presence.lease_version", &f_11)?;
    let ret = Presence {
      node: f_1.expect("auto-generated code should have checked for presence of required fields"),
      incarnation: f_2.expect("auto-generated code should have checked for presence of required fields"),
      sequence: f_3.expect("auto-generated code should have checked for presence of required fields"),
      data_centre: f_4.expect("auto-generated code should have checked for presence of required fields"),
      gate_port: f_5.expect("auto-generated code should have checked for presence of required fields"),
      service_name: f_6,
      upstream: f_7,
      config_version: f_8.expect("auto-generated code should have checked for presence of required fields"),
      maps: f_9.expect("auto-generated code should have checked for presence of required fields"),
      leaving: f_10.expect("auto-generated code should have checked for presence of required fields"),
      lease_version: f_11.expect("auto-generated code should have checked for presence of required fields"),
      map_changes: f_12,
      crashes_digest: f_13,
      crashes: f_14,
      evacuations_version: f_15,
      evacuations: f_16,
    };
    Ok(ret)
  }
  fn write_to_out_protocol(&self, o_prot: &mut dyn TOutputProtocol) -> thrift::Result<()> {
    let struct_ident = TStructIdentifier::new("Presence");
    o_prot.write_struct_begin(&struct_ident)?;
    o_prot.write_field_begin(&TFieldIdentifier::new("node", TType::String, 1))?;
    o_prot.write_string(&self.node)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("incarnation", TType::I64, 2))?;
    o_prot.write_i64(self.incarnation)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("sequence", TType::I64, 3))?;
    o_prot.write_i64(self.sequence)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("data_centre", TType::String, 4))?;
    o_prot.write_string(&self.data_centre)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("gate_port", TType::I32, 5))?;
    o_prot.write_i32(self.gate_port)?;
    o_prot.write_field_end()?;
    if let Some(ref fld_var) = self.service_name {
      o_prot.write_field_begin(&TFieldIdentifier::new("service_name", TType::String, 6))?;
      o_prot.write_string(fld_var)?;
      o_prot.write_field_end()?
    }
    if let Some(ref fld_var) = self.upstream {
      o_prot.write_field_begin(&TFieldIdentifier::new("upstream", TType::Struct, 7))?;
      fld_var.write_to_out_protocol(o_prot)?;
      o_prot.write_field_end()?
    }
    o_prot.write_field_begin(&TFieldIdentifier::new("config_version", TType::I64, 8))?;
    o_prot.write_i64(self.config_version)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("maps", TType::List, 9))?;
    o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, self.maps.len() as i32))?;
    for e in &self.maps {
      e.write_to_out_protocol(o_prot)?;
    }
    o_prot.write_list_end()?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("leaving", TType::Bool, 10))?;
    o_prot.write_bool(self.leaving)?;
    o_prot.write_field_end()?;
    o_prot.write_field_begin(&TFieldIdentifier::new("lease_version", TType::I64, 11))?;
    o_prot.write_i64(self.lease_version)?;
    o_prot.write_field_end()?;
    if let Some(ref fld_var) = self.map_changes {
      o_prot.write_field_begin(&TFieldIdentifier::new("map_changes", TType::List, 12))?;
      o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, fld_var.len() as i32))?;
      for e in fld_var {
        e.write_to_out_protocol(o_prot)?;
      }
      o_prot.write_list_end()?;
      o_prot.write_field_end()?
    }
    if let Some(fld_var) = self.crashes_digest {
      o_prot.write_field_begin(&TFieldIdentifier::new("crashes_digest", TType::I64, 13))?;
      o_prot.write_i64(fld_var)?;
      o_prot.write_field_end()?
    }
    if let Some(ref fld_var) = self.crashes {
      o_prot.write_field_begin(&TFieldIdentifier::new("crashes", TType::List, 14))?;
      o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, fld_var.len() as i32))?;
      for e in fld_var {
        e.write_to_out_protocol(o_prot)?;
      }
      o_prot.write_list_end()?;
      o_prot.write_field_end()?
    }
    if let Some(fld_var) = self.evacuations_version {
      o_prot.write_field_begin(&TFieldIdentifier::new("evacuations_version", TType::I64, 15))?;
      o_prot.write_i64(fld_var)?;
      o_prot.write_field_end()?
    }
    if let Some(ref fld_var) = self.evacuations {
      o_prot.write_field_begin(&TFieldIdentifier::new("evacuations", TType::List, 16))?;
      o_prot.write_list_begin(&TListIdentifier::new(TType::Struct, fld_var.len() as i32))?;
      for e in fld_var {
        e.write_to_out_protocol(o_prot)?;
      }
      o_prot.write_list_end()?;
      o_prot.write_field_end()?
    }
    o_prot.write_field_stop()?;
    o_prot.write_struct_end()
  }
}

