//! A learned model of who harms whom, by image.
//!
//! A tail t of a serving task is read as a strain u = 1 - r/t, with r the tail of its image at rest,
//! as for a queue whose waiting grows with 1/(1-u). Strains add up: the task's own load, alike for
//! all tasks of its job at a time, and a share for each neighbour that fills, in proportion to the
//! part of the worker's processors that it uses. docs/PLATFORM.md has the fit that speaks for it.

use std::collections;

/// The strain that one whole worker's processors in use are taken to cause before any was seen.
const PRIOR: f64 = 0.5;
/// The part of an error that one observation corrects.
const RATE: f64 = 0.25;
/// Keeps corrections small where little is in use, as a square of a part of the processors.
const DAMPING: f64 = 0.003;
/// The least tail at rest as a part of the target, where no lower one was seen.
const REST_OF_TARGET: f64 = 0.25;
/// The highest strain that a tail is read as.
const MOST_STRAIN: f64 = 0.98;

/// An image, numbered by this holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Image(usize);

/// Part of a worker's processors that tasks of an image use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Use {
    /// The image.
    pub image: Image,
    /// The part, from zero to one.
    pub part: f64,
}

/// What was learned; lost with the holder and learned anew.
#[derive(Debug, Default)]
pub(super) struct Model {
    /// The names of the images.
    names: Vec<String>,
    /// The lowest tail seen of each serving image, in milliseconds.
    rest_ms: collections::BTreeMap<Image, f64>,
    /// The strain on the first image by the second, for a whole worker's processors.
    harm: collections::BTreeMap<(Image, Image), f64>,
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
        self.harm.get(&(serving, filling)).copied().unwrap_or(PRIOR)
    }

    /// Returns the strain on an image by all its neighbours.
    pub fn total(&self, serving: Image, uses: &[Use]) -> f64 {
        uses.iter().map(|used| self.harm(serving, used.image) * used.part).sum()
    }

    /// Learns from the strain that was seen beyond a task's own load.
    pub fn learn(&mut self, serving: Image, uses: &[Use], strain: f64) {
        let power: f64 = uses.iter().map(|used| used.part * used.part).sum();
        if power <= 0.0 {
            return;
        }
        let error = strain - self.total(serving, uses);
        for used in uses {
            let change = RATE * error * used.part / (power + DAMPING);
            let harm = self.harm.entry((serving, used.image)).or_insert(PRIOR);
            *harm = (*harm + change).max(0.0);
        }
    }

    /// Returns what was learned, for operators.
    pub fn dump(&self) -> collections::BTreeMap<String, f64> {
        let name = |image: &Image| self.names.get(image.0).map_or("", String::as_str);
        let pairs = self.harm.iter();
        pairs.map(|((on, by), harm)| (format!("{} by {}", name(on), name(by)), *harm)).collect()
    }
}
