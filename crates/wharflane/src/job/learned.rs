//! What holders learn, and leave in the store to the next one.
//!
//! It lies in several rows, each bounded by what it may hold, since the store takes 64 KB a row.

use super::interference;
use super::times;
use crate::rows;

/// The row that names images.
const IMAGES: &str = "images";
/// The row of workers that are not listed, which is kept beside what is learned and read elsewhere.
pub(super) const UNLISTED: &str = "unlisted";
/// The row of times.
const TIMES: &str = "times";
/// What the names of rows about single serving images begin with.
const FIT: &str = "fit-";
/// The most rows about serving images in one write; more of them take turns.
const FITS_AT_ONCE: usize = 8;

/// What holders learn.
#[derive(Debug, Default)]
pub(super) struct Learned {
    /// Who harms whom.
    pub interference: interference::Model,
    /// How long tasks take.
    pub times: times::Times,
    /// Where the next write goes on among the rows about serving images.
    turn: usize,
}

impl Learned {
    /// Returns rows to write, as names and values.
    ///
    /// # Errors
    /// Returns the encoder's error.
    pub fn rows(&mut self) -> Result<Vec<(String, String)>, serde_json::Error> {
        let mut rows = vec![
            (IMAGES.to_owned(), self.interference.encode_images()?),
            (TIMES.to_owned(), serde_json::to_string(&self.times)?),
        ];
        let fits = self.interference.serving();
        let taken = fits.len().min(FITS_AT_ONCE);
        for at in 0..taken {
            let image = fits[(self.turn + at) % fits.len()];
            if let Some(fit) = self.interference.encode_fit(image)? {
                rows.push((format!("{FIT}{}", image.number()), fit));
            }
        }
        self.turn = self.turn.wrapping_add(taken);
        Ok(rows)
    }

    /// Reads rows; what can't be read is learned anew.
    pub fn read(rows: &[rows::Row]) -> Self {
        let mut learned = Self::default();
        for row in rows {
            let Some(text) = row.value.as_deref() else {
                continue;
            };
            let read = match row.name.as_str() {
                UNLISTED => Ok(()),
                IMAGES => learned.interference.decode_images(text),
                TIMES => serde_json::from_str(text).map(|times| learned.times = times),
                name => match name.strip_prefix(FIT).and_then(|number| number.parse().ok()) {
                    Some(number) => learned.interference.decode_fit(number, text),
                    None => {
                        tracing::warn!(key = name, "unknown row of what was learned passed over");
                        Ok(())
                    }
                },
            };
            if let Err(err) = read {
                tracing::warn!(key = %row.name, %err, "what was learned can't be read, learned anew");
            }
        }
        learned.interference.drop_unnamed();
        learned
    }
}
