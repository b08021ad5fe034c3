//! The learned state that holders write to the store for the next holder.
//!
//! It is split into several rows, each of bounded size, since the store accepts 64 KB per row.

use crate::job::learn::interference;
use crate::job::learn::run_times;
use crate::job::learn::times;
use crate::rows;

/// The row with the image names.
const IMAGES_ROW: &str = "images";
/// The row of workers missing from the store's list. It is stored with the learned state, but the
/// module `unlisted` reads it.
pub(in crate::job) const UNLISTED: &str = "unlisted";
/// The row of queue policies that no configuration may tell any more. The module `policies` reads
/// it.
pub(in crate::job) const POLICIES: &str = "policies";
/// The row with the run times.
const TIMES_ROW: &str = "times";
/// The row with the distributions of run times; absent while no decision needs them.
const RUN_TIMES_ROW: &str = "run-times";
/// Prefix of the rows with the fit of one serving image.
const FIT_ROW_PREFIX: &str = "fit-";
/// Maximum number of fit rows in one write, less one if the distributions of run times are written
/// too; if there are more, successive writes rotate through them.
const MAX_FITS_PER_WRITE: usize = 8;

/// The learned state of a domain.
#[derive(Debug, Default)]
pub(in crate::job) struct Learned {
    /// The interference between images.
    pub interference: interference::Model,
    /// The run times of tasks by queue.
    pub times: times::Times,
    /// The distributions of run times by queue.
    pub run_times: run_times::RunTimes,
    /// The fit with which the next write begins.
    next_fit: usize,
}

impl Learned {
    /// Returns the rows to write, as names and values.
    ///
    /// # Errors
    /// Returns the error of the encoder.
    pub fn rows(&mut self) -> Result<Vec<(String, String)>, serde_json::Error> {
        let mut rows = vec![
            (IMAGES_ROW.to_owned(), self.interference.encode_images()?),
            (TIMES_ROW.to_owned(), serde_json::to_string(&self.times)?),
        ];
        let run_times = self.run_times.encode()?;
        let max_fits = MAX_FITS_PER_WRITE - usize::from(run_times.is_some());
        rows.extend(run_times.map(|text| (RUN_TIMES_ROW.to_owned(), text)));
        let fits = self.interference.serving();
        let count = fits.len().min(max_fits);
        for at in 0..count {
            let image = fits[(self.next_fit + at) % fits.len()];
            if let Some(fit) = self.interference.encode_fit(image)? {
                rows.push((format!("{FIT_ROW_PREFIX}{}", image.number()), fit));
            }
        }
        self.next_fit = self.next_fit.wrapping_add(count);
        Ok(rows)
    }

    /// Restores the state from its rows; what can't be decoded is learned anew.
    pub fn read(rows: &[rows::Row]) -> Self {
        let mut learned = Self::default();
        for row in rows {
            let Some(text) = row.value.as_deref() else {
                continue;
            };
            let read = match row.name.as_str() {
                UNLISTED | POLICIES => Ok(()),
                IMAGES_ROW => learned.interference.decode_images(text),
                TIMES_ROW => serde_json::from_str(text).map(|times| learned.times = times),
                RUN_TIMES_ROW => {
                    run_times::RunTimes::decode(text).map(|read| learned.run_times = read)
                }
                name => {
                    match name.strip_prefix(FIT_ROW_PREFIX).and_then(|number| number.parse().ok()) {
                        Some(number) => learned.interference.decode_fit(number, text),
                        None => {
                            tracing::warn!(key = name, "skipped an unknown row of learned state");
                            Ok(())
                        }
                    }
                }
            };
            if let Err(err) = read {
                tracing::warn!(
                    key = %row.name, %err,
                    "learned state can't be decoded; learning it anew"
                );
            }
        }
        learned.interference.drop_unnamed();
        learned
    }
}
