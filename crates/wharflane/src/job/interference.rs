//! A learned model of who harms whom, by image.
//!
//! A tail t of a serving task is read as a strain u = 1 - r/t, with r the tail of its image at rest,
//! as for a queue whose waiting grows with 1/(1-u). Strains add up: the task's own load, alike for
//! all tasks of its job at a time, and a share for each neighbour that fills, in proportion to the
//! part of the worker's processors that it uses. docs/PLATFORM.md has the fit that speaks for it.

use std::borrow;
use std::collections;

use serde::{Deserialize, Serialize};

/// The strain that a whole worker's processors in use are taken to cause before any was seen.
const PRIOR: f64 = 0.5;
/// How sure that is, as a variance.
const PRIOR_VARIANCE: f64 = 0.5;
/// By how much a task's strain exceeds the least of its job where nothing fills.
const OFFSET: f64 = 0.06;
/// How sure that is, as a variance.
const OFFSET_VARIANCE: f64 = 0.001;
/// The variance of one strain around the model.
const NOISE: f64 = 0.006;
/// What one observation is worth after another one; forgets over some thousand.
const MEMORY: f64 = 0.9995;
/// The largest error that one observation may show; tails have outliers.
const MOST_ERROR: f64 = 0.25;
/// The least tail at rest as a part of the target, where no lower one was seen.
const REST_OF_TARGET: f64 = 0.25;
/// The highest strain that a tail is read as.
const MOST_STRAIN: f64 = 0.98;

/// The most images that are told apart; further ones count as one. Their names fill 40 KB of a row.
const MAX_IMAGES: usize = 500;
/// The longest name of an image that is kept whole, in bytes; of a longer one its hash is kept.
const MAX_NAME_BYTES: usize = 64;
/// The most filling images that are weighed against one serving image; the one that was not seen for
/// longest gives way. Their fit fills 16 KB of a row.
const MAX_FACTORS: usize = 48;

/// An image, numbered by this holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct Image(usize);

impl Image {
    /// Returns the number.
    pub fn number(self) -> usize {
        self.0
    }
}

/// Part of a worker's processors that tasks of an image use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Use {
    /// The image.
    pub image: Image,
    /// The part, from zero to one.
    pub part: f64,
}

/// Least squares, one observation at a time, of the strain on one serving image.
///
/// The first factor is the offset, the others are the images in the order they were seen.
#[derive(Clone, Debug)]
struct Fit {
    /// The filling images.
    images: Vec<Image>,
    /// The observation that each was last part of.
    last: Vec<u64>,
    /// The number of observations.
    seen: u64,
    /// The factors.
    factors: Vec<f64>,
    /// Their covariance.
    covariance: Vec<Vec<f64>>,
}

impl Default for Fit {
    fn default() -> Self {
        Self {
            images: Vec::new(),
            last: Vec::new(),
            seen: 0,
            factors: vec![OFFSET],
            covariance: vec![vec![OFFSET_VARIANCE]],
        }
    }
}

/// A fit as it is kept.
#[derive(Serialize, Deserialize)]
struct KeptFit {
    /// The filling images.
    images: Vec<Image>,
    /// The factors, the offset first.
    factors: Vec<f32>,
    /// The lower half of the covariance, row by row.
    covariance: Vec<f32>,
}

impl From<&Fit> for KeptFit {
    fn from(fit: &Fit) -> Self {
        let rows = fit.covariance.iter().enumerate();
        Self {
            images: fit.images.clone(),
            factors: fit.factors.iter().map(|factor| *factor as f32).collect(),
            covariance: rows.flat_map(|(at, row)| row[..=at].iter().map(|v| *v as f32)).collect(),
        }
    }
}

impl KeptFit {
    /// Returns the fit, or nothing where the numbers don't belong together.
    fn restore(self) -> Option<Fit> {
        let size = self.images.len() + 1;
        let whole = self.factors.len() == size && self.covariance.len() == size * (size + 1) / 2;
        let finite = self.factors.iter().chain(&self.covariance).all(|value| value.is_finite());
        if !whole || !finite {
            return None;
        }
        // Cell (a, b) of the lower half stands behind all rows before a.
        let cell = |a: usize, b: usize| f64::from(self.covariance[a * (a + 1) / 2 + b]);
        let row = |a: usize| (0..size).map(|b| cell(a.max(b), a.min(b))).collect();
        let covariance = (0..size).map(row).collect();
        let factors = self.factors.into_iter().map(f64::from).collect();
        let last = vec![0; self.images.len()];
        Some(Fit { images: self.images, last, seen: 0, factors, covariance })
    }
}

impl Fit {
    /// Returns the harm of a filling image.
    fn slope(&self, image: Image) -> f64 {
        let at = self.images.iter().position(|known| *known == image);
        at.map_or(PRIOR, |at| self.factors[at + 1].max(0.0))
    }

    /// Adds an image that was not seen before.
    fn add(&mut self, image: Image) {
        if let Some(at) = self.images.iter().position(|known| *known == image) {
            self.last[at] = self.seen;
            return;
        }
        if self.images.len() >= MAX_FACTORS {
            self.forget_oldest();
        }
        self.images.push(image);
        self.last.push(self.seen);
        self.factors.push(PRIOR);
        self.covariance.iter_mut().for_each(|row| row.push(0.0));
        let mut row = vec![0.0; self.factors.len()];
        if let Some(own) = row.last_mut() {
            *own = PRIOR_VARIANCE;
        }
        self.covariance.push(row);
    }

    /// Forgets the image that was not seen for longest.
    fn forget_oldest(&mut self) {
        let Some((at, _)) = self.last.iter().enumerate().min_by_key(|(_, last)| **last) else {
            return;
        };
        self.images.remove(at);
        self.last.remove(at);
        self.factors.remove(at + 1);
        self.covariance.remove(at + 1);
        for row in &mut self.covariance {
            row.remove(at + 1);
        }
    }

    /// Takes one observation.
    fn learn(&mut self, uses: &[Use], strain: f64) {
        self.seen += 1;
        uses.iter().take(MAX_FACTORS).for_each(|used| self.add(used.image));
        let mut seen = vec![1.0];
        seen.extend(self.images.iter().map(|image| {
            uses.iter().find(|used| used.image == *image).map_or(0.0, |used| used.part)
        }));
        let spread: Vec<f64> = self.covariance.iter().map(|row| dot(row, &seen)).collect();
        let total = NOISE + dot(&spread, &seen);
        let error = (strain - dot(&self.factors, &seen)).clamp(-MOST_ERROR, MOST_ERROR);
        for (factor, spread) in self.factors.iter_mut().zip(&spread) {
            *factor += error * spread / total;
        }
        for (row, own) in self.covariance.iter_mut().zip(&spread) {
            for (cell, other) in row.iter_mut().zip(&spread) {
                *cell = (*cell - own * other / total) / MEMORY;
            }
        }
        self.bound();
    }

    /// Keeps factors that were not seen for long from becoming less sure than at the start.
    fn bound(&mut self) {
        for at in 1..self.factors.len() {
            if self.covariance[at][at] > PRIOR_VARIANCE {
                let scale = (PRIOR_VARIANCE / self.covariance[at][at]).sqrt();
                self.covariance[at].iter_mut().for_each(|cell| *cell *= scale);
                self.covariance.iter_mut().for_each(|row| row[at] *= scale);
            }
        }
    }
}

/// Returns the name by which an image is kept.
fn kept_name(name: &str) -> borrow::Cow<'_, str> {
    if name.len() <= MAX_NAME_BYTES {
        return borrow::Cow::Borrowed(name);
    }
    borrow::Cow::Owned(format!("{:016x}", xxhash_rust::xxh3::xxh3_64(name.as_bytes())))
}

/// Returns the sum of the products of two rows.
fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// What was learned; kept in the store from time to time, so that the next holder goes on from it.
#[derive(Debug, Default)]
pub(super) struct Model {
    /// The names of the images.
    names: Vec<String>,
    /// The lowest tail seen of each serving image, in milliseconds.
    rest_ms: collections::BTreeMap<Image, f64>,
    /// What strains each serving image.
    fits: collections::BTreeMap<Image, Fit>,
}

/// The images as they are kept.
#[derive(Serialize, Deserialize)]
struct KeptImages {
    /// Their names, by number.
    names: Vec<String>,
    /// The lowest tail seen of each serving image, in milliseconds.
    rest_ms: collections::BTreeMap<Image, f64>,
}

impl Model {
    /// Returns the number of an image.
    pub fn image(&mut self, name: Option<&str>) -> Image {
        let name = kept_name(name.unwrap_or_default());
        let known = self.names.iter().position(|known| *known == *name);
        Image(known.unwrap_or_else(|| {
            if self.names.len() < MAX_IMAGES {
                self.names.push(name.into_owned());
            }
            self.names.len() - 1
        }))
    }

    /// Returns the serving images of which something is known.
    pub fn serving(&self) -> Vec<Image> {
        self.fits.keys().copied().collect()
    }

    /// Writes the names of images.
    pub fn encode_images(&self) -> Result<String, serde_json::Error> {
        let (names, rest_ms) = (self.names.clone(), self.rest_ms.clone());
        serde_json::to_string(&KeptImages { names, rest_ms })
    }

    /// Reads the names of images.
    pub fn decode_images(&mut self, text: &str) -> Result<(), serde_json::Error> {
        let kept: KeptImages = serde_json::from_str(text)?;
        (self.names, self.rest_ms) = (kept.names, kept.rest_ms);
        Ok(())
    }

    /// Writes what strains a serving image.
    pub fn encode_fit(&self, image: Image) -> Result<Option<String>, serde_json::Error> {
        let fit = self.fits.get(&image).map(KeptFit::from);
        fit.map(|fit| serde_json::to_string(&fit)).transpose()
    }

    /// Reads what strains a serving image.
    pub fn decode_fit(&mut self, number: usize, text: &str) -> Result<(), serde_json::Error> {
        let kept: KeptFit = serde_json::from_str(text)?;
        match kept.restore() {
            Some(fit) => drop(self.fits.insert(Image(number), fit)),
            None => tracing::warn!(number, "numbers of an image don't belong together"),
        }
        Ok(())
    }

    /// Drops what is known of images that have no name, since their row could not be read.
    pub fn drop_unnamed(&mut self) {
        let named = self.names.len();
        self.rest_ms.retain(|image, _| image.0 < named);
        self.fits.retain(|image, fit| {
            image.0 < named && fit.images.iter().all(|filling| filling.0 < named)
        });
    }

    /// Returns the tail at rest of a serving image.
    fn rest_ms(&self, image: Image, target_ms: u64) -> f64 {
        let prior = target_ms as f64 * REST_OF_TARGET;
        self.rest_ms.get(&image).map_or(prior, |rest| rest.min(prior))
    }

    /// Reads a tail as a strain, and notes it where it is the lowest so far.
    pub fn strain(&mut self, image: Image, tail_ms: u64, target_ms: u64) -> f64 {
        let tail = tail_ms as f64;
        if tail_ms > 0 {
            let lowest = self.rest_ms.entry(image).or_insert(tail);
            *lowest = lowest.min(tail);
        }
        (1.0 - self.rest_ms(image, target_ms) / tail.max(1.0)).clamp(0.0, MOST_STRAIN)
    }

    /// Returns the strain at which a serving image just keeps its target.
    pub fn limit(&self, image: Image, target_ms: u64) -> f64 {
        1.0 - self.rest_ms(image, target_ms) / (target_ms.max(1) as f64)
    }

    /// Returns the strain on an image by another, for a whole worker's processors.
    pub fn slope(&self, serving: Image, filling: Image) -> f64 {
        self.fits.get(&serving).map_or(PRIOR, |fit| fit.slope(filling))
    }

    /// Returns the strain that a filling image causes each serving one, by the serving image's number, for a
    /// whole worker's processors.
    pub fn slopes_of(&self, filling: Image) -> Vec<f64> {
        (0..self.names.len()).map(|serving| self.slope(Image(serving), filling)).collect()
    }

    /// Returns the strain on an image by all its neighbours.
    pub fn total_strain(&self, serving: Image, uses: &[Use]) -> f64 {
        uses.iter().map(|used| self.slope(serving, used.image) * used.part).sum()
    }

    /// Learns from the strain that was seen beyond a task's own load.
    pub fn learn(&mut self, serving: Image, uses: &[Use], strain: f64) {
        self.fits.entry(serving).or_default().learn(uses, strain);
    }

    /// Returns what was learned, for operators.
    pub fn dump(&self) -> collections::BTreeMap<String, f64> {
        let name = |image: &Image| self.names.get(image.0).map_or("", String::as_str);
        let mut harm = collections::BTreeMap::new();
        for (on, fit) in &self.fits {
            for by in &fit.images {
                harm.insert(format!("{} by {}", name(on), name(by)), fit.slope(*by));
            }
        }
        harm
    }
}
