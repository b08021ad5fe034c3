//! Workers that are lost under their tasks, and the tasks that may have caused it.

pub(super) mod chance;
pub(super) mod correlated;
pub(super) mod crash;
pub(super) mod evidence;
pub(super) mod isolation;
pub(super) mod loss_record;
pub(super) mod lost;
pub(super) mod missing;
pub(super) mod verdict;
