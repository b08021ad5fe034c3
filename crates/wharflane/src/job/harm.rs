//! A learned model of who harms whom, by image.
//!
//! A tail t of a serving task is read as a strain u = 1 - r/t, with r the tail of its image at rest,
//! as for a queue whose waiting grows with 1/(1-u). Strains add up: the task's own load, alike for
//! all tasks of its job at a time, and a share for each neighbour that fills, in proportion to the
//! part of the worker's processors that it uses. docs/PLATFORM.md has the fit that speaks for it.

use std::collections;

use serde::{Deserialize, Serialize};

/// The strain that a whole worker's processors in use are taken to cause before any was seen.
const PRIOR: f64 = 0.5;
/// How sure that is, as a variance; the harm of pairs was seen to lie between 0 and 2.5.
const PRIOR_VARIANCE: f64 = 0.5;
/// By how much a task's strain exceeds the least of its job where nothing fills, as measured.
const OFFSET: f64 = 0.06;
/// How sure that is, as a variance.
const OFFSET_VARIANCE: f64 = 0.001;
/// The variance of one strain around the model, as measured.
const NOISE: f64 = 0.006;
/// What one observation is worth after another one; forgets over some thousand.
const MEMORY: f64 = 0.9995;
/// The largest error that one observation may show; tails have outliers.
const MOST_ERROR: f64 = 0.25;
/// The least tail at rest as a part of the target, where no lower one was seen.
const REST_OF_TARGET: f64 = 0.25;
/// The highest strain that a tail is read as.
const MOST_STRAIN: f64 = 0.98;

/// An image, numbered by this holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct Image(usize);

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
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Fit {
    /// The filling images.
    images: Vec<Image>,
    /// The factors.
    factors: Vec<f64>,
    /// Their covariance.
    covariance: Vec<Vec<f64>>,
}

impl Default for Fit {
    fn default() -> Self {
        Self { images: Vec::new(), factors: vec![OFFSET], covariance: vec![vec![OFFSET_VARIANCE]] }
    }
}

impl Fit {
    /// Returns the harm of a filling image.
    fn harm(&self, image: Image) -> f64 {
        let at = self.images.iter().position(|known| *known == image);
        at.map_or(PRIOR, |at| self.factors[at + 1].max(0.0))
    }

    /// Adds an image that was not seen before.
    fn add(&mut self, image: Image) {
        if self.images.contains(&image) {
            return;
        }
        self.images.push(image);
        self.factors.push(PRIOR);
        self.covariance.iter_mut().for_each(|row| row.push(0.0));
        let mut row = vec![0.0; self.factors.len()];
        if let Some(own) = row.last_mut() {
            *own = PRIOR_VARIANCE;
        }
        self.covariance.push(row);
    }

    /// Takes one observation.
    fn learn(&mut self, uses: &[Use], strain: f64) {
        uses.iter().for_each(|used| self.add(used.image));
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

/// Returns the sum of the products of two rows.
fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// What was learned; kept in the store from time to time, so that the next holder goes on from it.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Model {
    /// The names of the images.
    names: Vec<String>,
    /// The lowest tail seen of each serving image, in milliseconds.
    rest_ms: collections::BTreeMap<Image, f64>,
    /// What strains each serving image.
    fits: collections::BTreeMap<Image, Fit>,
}

impl Model {
    /// Returns the number of an image.
    pub fn image(&mut self, name: Option<&str>) -> Image {
        let name = name.unwrap_or_default();
        let known = self.names.iter().position(|known| known == name);
        Image(known.unwrap_or_else(|| {
            self.names.push(name.to_owned());
            self.names.len() - 1
        }))
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
    pub fn harm(&self, serving: Image, filling: Image) -> f64 {
        self.fits.get(&serving).map_or(PRIOR, |fit| fit.harm(filling))
    }

    /// Returns the strain on an image by all its neighbours.
    pub fn total(&self, serving: Image, uses: &[Use]) -> f64 {
        uses.iter().map(|used| self.harm(serving, used.image) * used.part).sum()
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
                harm.insert(format!("{} by {}", name(on), name(by)), fit.harm(*by));
            }
        }
        harm
    }
}
