//! Starting a deployment, and what every test ends with.

use fleetlab::tier::{deployment::Deployment, fleet::TierSpec};
use std::{
    future::Future,
    path::Path,
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// A test that takes longer has failed.
const TEST_LIMIT: Duration = Duration::from_secs(30);
/// One tier at a time: each has some ten processes.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Plays a story with a deployment of the usual size, which must have kept every rule at its end.
pub fn with_deployment<F>(story: impl FnOnce(Deployment) -> F)
where
    F: Future<Output = Deployment>,
{
    with_spec(TierSpec::default(), story);
}

/// The same with a deployment of another size.
pub fn with_spec<F>(spec: TierSpec, story: impl FnOnce(Deployment) -> F)
where
    F: Future<Output = Deployment>,
{
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let played = async {
        let program = Path::new(env!("CARGO_BIN_EXE_opalrun"));
        let deployment = Deployment::start(program, spec).await.unwrap_or_else(|e| panic!("{e}"));
        story(deployment).await
    };
    let mut deployment = runtime.expect("a runtime").block_on(async {
        tokio::time::timeout(TEST_LIMIT, played).await.expect("a story that ends in time")
    });
    let (broken, fallen) = (deployment.broken(), deployment.tier.fallen());
    let words =
        if broken.is_empty() && fallen.is_empty() { String::new() } else { deployment.tier.log_tails() };
    assert!(broken.is_empty(), "{broken:#?}\n{words}");
    assert!(fallen.is_empty(), "{fallen:#?}\n{words}");
}
