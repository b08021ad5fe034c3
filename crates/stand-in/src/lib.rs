//! Small in-memory fakes of the platform, workers, endpoints and callers, with faults that tests
//! switch on.

pub mod caller;
pub mod checker;
pub mod closing_peer;
pub mod endpoint;
pub mod history;
pub mod jobs;
pub mod machine;
pub mod platform;
pub mod proxy;
pub mod runtime;
pub mod scenario;
mod scenario_text;
pub mod store;
pub mod worker;
pub mod world;

/// Defines one test per case: each `name => body,` in `cases! { ... }` becomes a test with that
/// name.
#[macro_export]
macro_rules! cases {
    ($($name:ident => $body:expr,)+) => {
        $(
            #[test]
            fn $name() {
                $body
            }
        )+
    };
}
