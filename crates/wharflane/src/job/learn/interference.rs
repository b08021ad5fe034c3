//! A learned model of the interference between images on one worker.
//!
//! The tail latency t of a serving task is converted to a strain u = 1 - r/t, where r is the tail
//! latency of its image without load, as in a queue whose waiting time grows with 1/(1-u). Strains
//! add up: the task's own load, which is the same for all tasks of a job at a time, plus a part for
//! each best-effort neighbour in proportion to the fraction of the worker's CPU that it uses.
//! docs/PLATFORM.md shows how well this model fits.

use std::borrow;
use std::collections;

use serde::{Deserialize, Serialize};

/// Strain that an unknown best-effort image is assumed to cause when it uses a whole worker's CPU.
const PRIOR_STRAIN: f64 = 0.5;
/// Variance of that assumption.
const PRIOR_VARIANCE: f64 = 0.5;
/// Initial estimate of how far a task's strain exceeds the lowest of its job without best-effort
/// neighbours.
const PRIOR_OFFSET: f64 = 0.06;
/// Variance of that estimate.
const PRIOR_OFFSET_VARIANCE: f64 = 0.001;
/// Variance of one observed strain around the model.
const NOISE_VARIANCE: f64 = 0.006;
/// Weight of an observation relative to the next one; older observations lose their weight over
/// some thousand newer ones.
const FORGETTING_FACTOR: f64 = 0.9995;
/// Bound of the error of one observation, since tail latencies have outliers.
const MAX_ERROR: f64 = 0.25;
/// Upper bound of the unloaded tail latency, as a fraction of the target; used until a lower one is
/// observed.
const PRIOR_UNLOADED_FRACTION: f64 = 0.25;
/// Upper bound of the strain to which a tail latency is converted.
const MAX_STRAIN: f64 = 0.98;

/// Maximum number of distinct images; further ones share the last number. Their names take up to 40
/// KB of a row.
const MAX_IMAGES: usize = 500;
/// Maximum length of a stored image name, in bytes; a longer one is replaced by its hash.
const MAX_NAME_BYTES: usize = 64;
/// Maximum number of best-effort images in the fit of one serving image; the least recently seen
/// one is evicted. A fit takes up to 16 KB of a row.
const MAX_FACTORS: usize = 48;

/// An image, by the number that this holder or an earlier one assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(in crate::job) struct Image(usize);

impl Image {
    /// Returns the number of the image.
    pub fn number(self) -> usize {
        self.0
    }
}

/// CPU used by the tasks of one image on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::job) struct CpuUse {
    /// The image.
    pub image: Image,
    /// The fraction of the worker's CPU, from zero to one.
    pub part: f64,
}

/// Recursive least squares fit of the strain on one serving image.
///
/// The first factor is the offset; the others belong to best-effort images in the order of
/// `images`.
#[derive(Clone, Debug)]
struct StrainFit {
    /// The best-effort images.
    images: Vec<Image>,
    /// The number of the observation that last contained each image.
    last_seen: Vec<u64>,
    /// The number of observations so far.
    observations: u64,
    /// The estimated factors, the offset first.
    factors: Vec<f64>,
    /// The covariance of the factors.
    covariance: Vec<Vec<f64>>,
}

impl Default for StrainFit {
    fn default() -> Self {
        Self {
            images: Vec::new(),
            last_seen: Vec::new(),
            observations: 0,
            factors: vec![PRIOR_OFFSET],
            covariance: vec![vec![PRIOR_OFFSET_VARIANCE]],
        }
    }
}

/// A fit in its stored form.
#[derive(Serialize, Deserialize)]
struct StoredFit {
    /// The best-effort images.
    images: Vec<Image>,
    /// The factors, the offset first.
    factors: Vec<f32>,
    /// The lower triangle of the covariance, row by row.
    covariance: Vec<f32>,
}

impl From<&StrainFit> for StoredFit {
    fn from(fit: &StrainFit) -> Self {
        let rows = fit.covariance.iter().enumerate();
        Self {
            images: fit.images.clone(),
            factors: fit.factors.iter().map(|factor| *factor as f32).collect(),
            covariance: rows.flat_map(|(at, row)| row[..=at].iter().map(|v| *v as f32)).collect(),
        }
    }
}

impl StoredFit {
    /// Returns the fit, or `None` if its lengths don't match or a value is not finite.
    fn restore(self) -> Option<StrainFit> {
        let size = self.images.len() + 1;
        let complete = self.factors.len() == size && self.covariance.len() == size * (size + 1) / 2;
        let finite = self.factors.iter().chain(&self.covariance).all(|value| value.is_finite());
        if !complete || !finite {
            return None;
        }
        // Cell (a, b) of the lower triangle follows all rows before a.
        let cell = |a: usize, b: usize| f64::from(self.covariance[a * (a + 1) / 2 + b]);
        let row = |a: usize| (0..size).map(|b| cell(a.max(b), a.min(b))).collect();
        let covariance = (0..size).map(row).collect();
        let factors = self.factors.into_iter().map(f64::from).collect();
        let last_seen = vec![0; self.images.len()];
        Some(StrainFit { images: self.images, last_seen, observations: 0, factors, covariance })
    }
}

impl StrainFit {
    /// Returns the strain that a best-effort image would cause if it used a whole worker's CPU.
    fn slope(&self, image: Image) -> f64 {
        let at = self.images.iter().position(|known| *known == image);
        at.map_or(PRIOR_STRAIN, |at| self.factors[at + 1].max(0.0))
    }

    /// Marks an image as seen and adds it if it is new.
    fn add(&mut self, image: Image) {
        if let Some(at) = self.images.iter().position(|known| *known == image) {
            self.last_seen[at] = self.observations;
            return;
        }
        if self.images.len() >= MAX_FACTORS {
            self.evict_oldest();
        }
        self.images.push(image);
        self.last_seen.push(self.observations);
        self.factors.push(PRIOR_STRAIN);
        self.covariance.iter_mut().for_each(|row| row.push(0.0));
        let mut row = vec![0.0; self.factors.len()];
        if let Some(own) = row.last_mut() {
            *own = PRIOR_VARIANCE;
        }
        self.covariance.push(row);
    }

    /// Evicts the least recently seen image.
    fn evict_oldest(&mut self) {
        let Some((at, _)) = self.last_seen.iter().enumerate().min_by_key(|(_, last)| **last) else {
            return;
        };
        self.images.remove(at);
        self.last_seen.remove(at);
        self.factors.remove(at + 1);
        self.covariance.remove(at + 1);
        for row in &mut self.covariance {
            row.remove(at + 1);
        }
    }

    /// Updates the fit with one observation.
    fn learn(&mut self, uses: &[CpuUse], strain: f64) {
        self.observations += 1;
        uses.iter().take(MAX_FACTORS).for_each(|used| self.add(used.image));
        let mut features = vec![1.0];
        features.extend(self.images.iter().map(|image| {
            uses.iter().find(|used| used.image == *image).map_or(0.0, |used| used.part)
        }));
        let gain: Vec<f64> = self.covariance.iter().map(|row| dot(row, &features)).collect();
        let variance = NOISE_VARIANCE + dot(&gain, &features);
        let error = (strain - dot(&self.factors, &features)).clamp(-MAX_ERROR, MAX_ERROR);
        for (factor, gain) in self.factors.iter_mut().zip(&gain) {
            *factor += error * gain / variance;
        }
        // One multiplication each, since every heartbeat answer of a busy worker comes here.
        for (row, own) in self.covariance.iter_mut().zip(&gain) {
            let own = own / variance;
            for (cell, other) in row.iter_mut().zip(&gain) {
                *cell = (*cell - own * other) * (1.0 / FORGETTING_FACTOR);
            }
        }
        self.cap_variance();
    }

    /// Caps the variance of each image's factor at its prior, since `FORGETTING_FACTOR` raises it
    /// without bound for images that are not observed.
    fn cap_variance(&mut self) {
        for at in 1..self.factors.len() {
            if self.covariance[at][at] > PRIOR_VARIANCE {
                let scale = (PRIOR_VARIANCE / self.covariance[at][at]).sqrt();
                self.covariance[at].iter_mut().for_each(|cell| *cell *= scale);
                self.covariance.iter_mut().for_each(|row| row[at] *= scale);
            }
        }
    }
}

/// Returns the stored form of an image name.
fn stored_name(name: &str) -> borrow::Cow<'_, str> {
    if name.len() <= MAX_NAME_BYTES {
        return borrow::Cow::Borrowed(name);
    }
    borrow::Cow::Owned(format!("{:016x}", xxhash_rust::xxh3::xxh3_64(name.as_bytes())))
}

/// Returns the dot product of two rows.
fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// The interference model, written to the store from time to time so that the next holder resumes
/// from it.
#[derive(Debug, Default)]
pub(in crate::job) struct Model {
    /// The stored image names, by number.
    names: Vec<String>,
    /// The lowest observed tail latency of each serving image, in milliseconds.
    unloaded_ms: collections::BTreeMap<Image, f64>,
    /// The fit of each serving image.
    fits: collections::BTreeMap<Image, StrainFit>,
}

/// The images in their stored form.
#[derive(Serialize, Deserialize)]
struct StoredImages {
    /// The stored image names, by number.
    names: Vec<String>,
    /// The lowest observed tail latency of each serving image, in milliseconds.
    rest_ms: collections::BTreeMap<Image, f64>,
}

impl Model {
    /// Returns the number of an image; assigns one if it is new.
    pub fn image(&mut self, name: Option<&str>) -> Image {
        let name = stored_name(name.unwrap_or_default());
        let known = self.names.iter().position(|known| *known == *name);
        Image(known.unwrap_or_else(|| {
            if self.names.len() < MAX_IMAGES {
                self.names.push(name.into_owned());
            }
            self.names.len() - 1
        }))
    }

    /// Returns the image of a name, if it was seen before.
    pub fn known_image(&self, name: Option<&str>) -> Option<Image> {
        let name = stored_name(name.unwrap_or_default());
        self.names.iter().position(|known| *known == *name).map(Image)
    }

    /// Returns the serving images that have a fit.
    pub fn serving(&self) -> Vec<Image> {
        self.fits.keys().copied().collect()
    }

    /// Encodes image names and unloaded tail latencies.
    pub fn encode_images(&self) -> Result<String, serde_json::Error> {
        let (names, unloaded_ms) = (self.names.clone(), self.unloaded_ms.clone());
        serde_json::to_string(&StoredImages { names, rest_ms: unloaded_ms })
    }

    /// Decodes image names and unloaded tail latencies.
    pub fn decode_images(&mut self, text: &str) -> Result<(), serde_json::Error> {
        let stored: StoredImages = serde_json::from_str(text)?;
        (self.names, self.unloaded_ms) = (stored.names, stored.rest_ms);
        Ok(())
    }

    /// Encodes the fit of a serving image.
    pub fn encode_fit(&self, image: Image) -> Result<Option<String>, serde_json::Error> {
        let fit = self.fits.get(&image).map(StoredFit::from);
        fit.map(|fit| serde_json::to_string(&fit)).transpose()
    }

    /// Decodes the fit of a serving image.
    pub fn decode_fit(&mut self, number: usize, text: &str) -> Result<(), serde_json::Error> {
        let stored: StoredFit = serde_json::from_str(text)?;
        match stored.restore() {
            Some(fit) => drop(self.fits.insert(Image(number), fit)),
            None => tracing::warn!(number, "stored interference fit is inconsistent; dropping it"),
        }
        Ok(())
    }

    /// Drops fits that refer to unnamed images, which happens if the row of names could not be
    /// read.
    pub fn drop_unnamed(&mut self) {
        let named = self.names.len();
        self.unloaded_ms.retain(|image, _| image.0 < named);
        self.fits.retain(|image, fit| {
            image.0 < named && fit.images.iter().all(|filling| filling.0 < named)
        });
    }

    /// Returns the unloaded tail latency of a serving image, in milliseconds.
    fn unloaded_ms(&self, image: Image, target_ms: u64) -> f64 {
        let prior = target_ms as f64 * PRIOR_UNLOADED_FRACTION;
        self.unloaded_ms.get(&image).map_or(prior, |lowest| lowest.min(prior))
    }

    /// Converts a tail latency to a strain and updates the lowest observed one.
    pub fn strain(&mut self, image: Image, tail_ms: u64, target_ms: u64) -> f64 {
        let tail = tail_ms as f64;
        if tail_ms > 0 {
            let lowest = self.unloaded_ms.entry(image).or_insert(tail);
            *lowest = lowest.min(tail);
        }
        (1.0 - self.unloaded_ms(image, target_ms) / tail.max(1.0)).clamp(0.0, MAX_STRAIN)
    }

    /// Returns the strain at which a serving image just meets its target.
    pub fn limit(&self, image: Image, target_ms: u64) -> f64 {
        1.0 - self.unloaded_ms(image, target_ms) / (target_ms.max(1) as f64)
    }

    /// Returns the strain on a serving image by a best-effort one that uses a whole worker's CPU.
    pub fn slope(&self, serving: Image, filling: Image) -> f64 {
        self.fits.get(&serving).map_or(PRIOR_STRAIN, |fit| fit.slope(filling))
    }

    /// Returns the strain that a best-effort image causes each serving one, indexed by the number
    /// of the serving image, if it used a whole worker's CPU.
    pub fn slopes_of(&self, filling: Image) -> Vec<f64> {
        (0..self.names.len()).map(|serving| self.slope(Image(serving), filling)).collect()
    }

    /// Returns the strain on a serving image by all its neighbours.
    pub fn total_strain(&self, serving: Image, uses: &[CpuUse]) -> f64 {
        uses.iter().map(|used| self.slope(serving, used.image) * used.part).sum()
    }

    /// Learns from the strain observed beyond a task's own load.
    pub fn learn(&mut self, serving: Image, uses: &[CpuUse], strain: f64) {
        self.fits.entry(serving).or_default().learn(uses, strain);
    }

    /// Returns the learned strains by image names, for the operator's dump.
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
