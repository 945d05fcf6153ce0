//! Streams whose peers are always ready.

use ibiscove_io::{MAX_READY_BYTES, MAX_READY_CALLS, Yielding};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use yare::parameterized;

/// Runs a task for ever, and another one beside it; returns whether that one ran within
/// `turns` turns of the executor.
fn runs_beside(endless: impl Future<Output = ()>, turns: usize) -> bool {
    let executor = smol::LocalExecutor::new();
    let _endless = executor.spawn(endless);
    let other = executor.spawn(async {});
    for _ in 0..turns {
        executor.try_tick();
    }
    other.is_finished()
}

/// Guards against a connection that keeps all others from running, because its peer sends
/// or takes bytes without end.
#[parameterized(
    long_reads = { MAX_READY_BYTES },
    short_reads = { 1 },
)]
fn endless_reads_and_writes_let_other_tasks_run(len: usize) {
    let mut buf = vec![0; len];
    assert!(runs_beside(
        async move {
            let mut stream = Yielding::new(smol::io::repeat(b'0'));
            while stream.read(&mut buf).await.is_ok() {}
        },
        2,
    ));
    let buf = vec![0; len];
    assert!(runs_beside(
        async move {
            let mut stream = Yielding::new(smol::io::sink());
            while stream.write(&buf).await.is_ok() {}
        },
        2,
    ));
}

/// An exchange of a few short messages is never interrupted.
#[test]
fn a_short_exchange_completes_in_one_turn() {
    let executor = smol::LocalExecutor::new();
    let exchange = executor.spawn(async {
        let mut buf = [0; 1 << 10];
        let mut stream = Yielding::new(smol::io::repeat(b'0'));
        for _ in 0..MAX_READY_CALLS {
            let _ = stream.read(&mut buf).await;
        }
    });
    executor.try_tick();
    assert!(exchange.is_finished());
}
