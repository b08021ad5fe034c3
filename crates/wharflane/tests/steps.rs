//! A list of steps that is far too long takes little memory and is refused as too long.

use wharflane::job;
use wharflane_stand_in::cases;

/// A job as callers write it.
#[derive(serde::Deserialize)]
struct Submission {
    /// Its steps.
    #[serde(deserialize_with = "job::read_steps")]
    steps: Vec<job::Step>,
}

/// Returns the steps that are read of a submission with `count` of them.
fn read(count: usize) -> Vec<job::Step> {
    let steps = vec![serde_json::json!(job::Step { count: 1, ..job::Step::default() }); count];
    let text = serde_json::json!({ "steps": steps }).to_string();
    serde_json::from_str::<Submission>(&text).expect("the text is a submission").steps
}

cases! {
    all_steps_of_a_job_are_read => {
        for count in [0, 1, job::MAX_STEPS] {
            assert_eq!(read(count).len(), count);
        }
    },
    one_step_too_many_is_kept_and_no_further_ones => {
        for count in [job::MAX_STEPS + 1, 10_000] {
            assert_eq!(read(count).len(), job::MAX_STEPS + 1);
        }
    },
    a_job_with_too_many_steps_is_refused => {
        let job = job::Job {
            queue: "queue".to_owned(),
            service: "service".into(),
            spec: String::new(),
            steps: read(1_000),
            repeats: None,
        };
        assert!(matches!(job.check(), Err(job::Refusal::TooManySteps { .. })));
    },
    a_step_that_can_not_be_read_is_a_fault => {
        let text = "{\"steps\":[{\"count\":\"many\"}]}";
        assert!(serde_json::from_str::<Submission>(text).is_err());
    },
}
