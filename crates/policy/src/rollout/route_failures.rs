//! Finds a version that fails on one route only.

use std::collections::HashMap;

use stallhoist_core::RouteName;

use super::AnswerCounts;
use super::RouteCounts;
use super::comparison::Comparison;

/// The test of one route.
#[derive(Debug, Default)]
struct RouteTest {
    comparison: Comparison,
    /// Responses of the new version that came before the old version's rate was known.
    pending: AnswerCounts,
    /// What the test of this route has to exceed the others' by, as a decimal logarithm; none before the
    /// first response of the new version is compared.
    handicap: Option<f64>,
}

impl RouteTest {
    /// The decimal logarithm of the likelihood ratio, less the handicap.
    fn strength(&self) -> Option<f64> {
        self.handicap.map(|handicap| self.comparison.strength() - handicap)
    }
}

/// The failures of each route, compared with those of the old version on the same route.
///
/// Among the responses of all routes, those of one route that fails are few: with one route in five, half
/// of whose responses fail, the version has to be observed seven times as long.
///
/// The n-th route of which the new version has a response must be `n (n + 1)` times as significant as a
/// single test. The inverses of these factors add up to 1, so that all routes together find a good version
/// bad as rarely as one test would, however many they are.
#[derive(Debug, Default)]
pub(super) struct RouteFailures {
    routes: HashMap<RouteName, RouteTest>,
    compared: u32,
}

impl RouteFailures {
    /// Adds responses of one route.
    pub(super) fn observe(&mut self, route: &RouteName, counts: RouteCounts) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), RouteTest::default());
        }
        let Some(test) = self.routes.get_mut(route) else {
            return;
        };
        test.comparison.old_version(counts.old.answers, counts.old.failures);
        test.pending.add(counts.new);
        if test.pending.answers == 0 || !test.comparison.is_old_rate_known() {
            return;
        }
        let AnswerCounts { answers, failures } = std::mem::take(&mut test.pending);
        test.comparison.new_version(answers, failures);
        if test.handicap.is_none() {
            self.compared += 1;
            let n = f64::from(self.compared);
            test.handicap = Some((n * (n + 1.0)).log10());
        }
    }

    /// The strength of the route on which the version is most likely worse.
    pub(super) fn strength(&self) -> f64 {
        self.routes.values().filter_map(RouteTest::strength).fold(0.0, f64::max)
    }
}
