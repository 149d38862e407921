//! The choices that decide a run.

/// Decides a run: 0 is the usual course, any other choice a fault.
pub(super) trait Choices {
    fn choose(&mut self, options: usize) -> usize;
}

/// All runs with a limited number of faults, one after the other.
#[derive(Debug, Default)]
pub(super) struct Exhaustive {
    /// The choices of this run, with their numbers of options.
    pub(super) made: Vec<(usize, usize)>,
    /// How many of them are taken over from the run before.
    prefix: usize,
    position: usize,
    faults: usize,
    max_faults: usize,
}

impl Exhaustive {
    pub(super) fn new(max_faults: usize) -> Self {
        Self { max_faults, ..Self::default() }
    }

    /// Goes on to the next run; false after the last one.
    pub(super) fn advance(&mut self) -> bool {
        while let Some((choice, options)) = self.made.pop() {
            let faults = self.made.iter().filter(|(choice, _)| *choice > 0).count();
            let next = choice + 1;
            if next < options && faults < self.max_faults {
                self.made.push((next, options));
                self.prefix = self.made.len();
                (self.position, self.faults) = (0, 0);
                return true;
            }
        }
        false
    }
}

impl Choices for Exhaustive {
    fn choose(&mut self, options: usize) -> usize {
        let choice = if self.position < self.prefix {
            self.made[self.position].0
        } else {
            self.made.push((0, options));
            0
        };
        self.position += 1;
        self.faults += usize::from(choice > 0);
        choice
    }
}

/// A run whose faults are drawn.
#[derive(Debug)]
pub(super) struct Drawn {
    pub(super) state: u64,
    pub(super) one_in: u64,
}

impl Choices for Drawn {
    fn choose(&mut self, options: usize) -> usize {
        self.state = self
            .state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let drawn = self.state >> 33;
        if drawn.is_multiple_of(self.one_in) { (drawn / self.one_in) as usize % options } else { 0 }
    }
}
