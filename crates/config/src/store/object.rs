//! Versions as objects in the object store.

use super::StoreError;
use crate::change::{ConfigKind, VersionBody, VersionInfo, change_id, digest};
use ibiscove_store::{Objects, TableError};
use serde::{Deserialize, Serialize};

/// A version with its text, and the name of its predecessor's object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Object {
    #[serde(flatten)]
    pub(super) version: VersionBody,
    pub(super) previous: Option<String>,
}

/// Returns the name of a version's object. Concurrent changes to the same
/// version have different names, so that the one that loses the race never
/// overwrites the text of the accepted one.
pub(super) fn name(kind: ConfigKind, info: &VersionInfo) -> String {
    let id = change_id(&info.author, &info.digest);
    format!("config/{kind}/{:010}-{id}", info.version)
}

impl Object {
    /// Reads an object and verifies its text against the digest.
    pub(super) async fn read(objects: &impl Objects, name: &str) -> Result<Self, StoreError> {
        let damaged = |cause: String| StoreError::Damaged {
            name: name.to_owned(),
            cause,
        };
        let bytes = objects.fetch(name).await?;
        let bytes = bytes.ok_or_else(|| damaged("the object does not exist".to_owned()))?;
        let object: Self =
            serde_json::from_slice(&bytes).map_err(|err| damaged(err.to_string()))?;
        if digest(object.version.body.as_bytes()) != object.version.info.digest {
            return Err(damaged("the text does not match the digest".to_owned()));
        }
        Ok(object)
    }

    /// Writes the object to the object store.
    pub(super) async fn write(&self, objects: &impl Objects, name: &str) -> Result<(), TableError> {
        let bytes = serde_json::to_vec(self).expect("plain data can be written");
        objects.put(name, bytes).await
    }
}
