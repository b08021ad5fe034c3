//! Small fakes of the platform, workers, endpoints and callers, with fault switches.

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

/// Names each case of a test: `cases! { name => body, }` makes one test for each.
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
