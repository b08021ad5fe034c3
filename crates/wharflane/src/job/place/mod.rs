//! Which waiting task goes to which worker, and in which order.

pub(super) mod advice;
pub(super) mod assign;
pub(super) mod backlogs;
pub(super) mod choose;
pub(super) mod gang;
pub(super) mod group;
pub(super) mod headroom;
pub(super) mod obstacle;
pub(super) mod outlook;
pub(super) mod pass;
pub(super) mod placement;
pub(super) mod precedence;
pub(super) mod ranking;
pub(super) mod starvation;
pub(super) mod tickets;
pub(super) mod waits;
