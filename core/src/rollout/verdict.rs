//! Whether the answers of the new version are worse than those of the old one.

use super::statistics::{Counts, Sample, Side, Statistics};

/// Standard deviations of certainty. Routes and periods are compared several times a second, so one in a
/// few ten thousand comparisons may be wrong by chance.
const CERTAINTY: f64 = 3.3;

/// Share of bad answers above that of the old version that is not tolerated.
const MAX_EXCESS: f64 = 0.02;

/// Bad answers after which any certain excess is not tolerated.
const MAX_BAD: f64 = 50.0;

/// Least number of bad answers of a verdict.
const MIN_BAD: f64 = 5.0;

/// Answers from which a share of failures of 0.1 can be told from none.
const MIN_ANSWERS: f64 = 60.0;

/// Factor of the times that is not tolerated. A new version may be slower while it gets most of the load.
const MAX_SLOWDOWN: f64 = 1.5;

/// Least number of times of each version.
const MIN_TIMES: f64 = 15.0;

/// Answers of the old version that suffice for a comparison over the same period.
const MIN_REFERENCE: f64 = 20.0;

/// Share of bad answers above that of the old version that delays the rise.
const SUSPICIOUS_EXCESS: f64 = 0.05;

/// Least number of bad answers of a verdict when there is no time left.
const MIN_PROBABLE: f64 = 3.0;

/// Standard deviations that suffice then.
const PROBABILITY: f64 = 2.6;

/// What the answers show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There are too few of them.
    TooFew,
    /// The new version is not worse.
    Good,
    /// It may be worse.
    Suspicious,
    /// It is worse; holds the reason.
    Bad(String),
}

/// Judges on each route and on all of them, since the beginning and recently.
pub fn judge(statistics: &Statistics) -> Verdict {
    let mut verdict = Verdict::TooFew;
    let routes = statistics.routes();
    // The routes together are judged last, since theirs is the verdict if nothing is wrong.
    let scopes = routes.into_iter().map(Some).chain([None]);
    for route in scopes {
        let all = combine(&statistics.samples(route, false));
        let recent = combine(&statistics.samples(route, true));
        let reference = match recent.old.answers >= MIN_REFERENCE {
            true => recent.old,
            false => all.old,
        };
        for (new, old) in [(all.new, all.old), (recent.new, reference)] {
            if let Some(reason) = find_excess(&new, &old) {
                return Verdict::Bad(reason);
            }
        }
        let is_suspicious = is_suspicious(&all.new, &all.old)
            || recent.new.answers >= 1.0 && is_suspicious(&recent.new, &reference);
        verdict = match verdict {
            Verdict::Suspicious => Verdict::Suspicious,
            _ if is_suspicious => Verdict::Suspicious,
            _ if all.new.answers >= MIN_ANSWERS => Verdict::Good,
            _ => Verdict::TooFew,
        };
    }
    verdict
}

/// Whether answers that are suspicious tell against the new version, when there is no time left to be
/// certain.
pub fn is_probably_bad(statistics: &Statistics) -> bool {
    let new = statistics.total(Side::New);
    let old = statistics.total(Side::Old);
    let (new_low, _) = interval(new.bad, new.answers, PROBABILITY);
    let old_share = old.bad / old.answers.max(1.0);
    let fails = new.bad >= MIN_PROBABLE && new_low > old_share + MAX_EXCESS;
    fails || is_slow(&new, &old)
}

/// Sum of all routers except the one with the most bad answers of the new version, whose own link or
/// processor may be the cause. It is left out only if the others have most of the answers.
fn combine(samples: &[Sample]) -> Sample {
    let mut sum = Sample::default();
    for sample in samples {
        sum.new = sum.new.plus(sample.new);
        sum.old = sum.old.plus(sample.old);
    }
    let worst = samples
        .iter()
        .max_by(|one, other| one.new.bad.total_cmp(&other.new.bad));
    if let Some(worst) = worst {
        let others = sum.new.since(worst.new);
        let with_answers = samples.iter().filter(|sample| sample.new.answers >= 1.0);
        if with_answers.count() >= 3 && others.answers * 2.0 >= sum.new.answers {
            sum.new = others;
            sum.old = sum.old.since(worst.old);
        }
    }
    sum
}

fn find_excess(new: &Counts, old: &Counts) -> Option<String> {
    let (_, old_high) = interval(old.bad, old.answers, CERTAINTY);
    let (new_low, _) = interval(new.bad, new.answers, CERTAINTY);
    let tolerated = match new.bad >= MAX_BAD {
        true => 0.0,
        false => MAX_EXCESS,
    };
    if new.bad >= MIN_BAD && old.answers >= MIN_BAD && new_low > old_high + tolerated {
        return Some(format!(
            "{:.0} of {:.0} answers of the new version are bad, {:.0} of {:.0} of the old one",
            new.bad, new.answers, old.bad, old.answers
        ));
    }
    let names = [
        "time to the first event",
        "time per event",
        "time of an answer",
    ];
    for ((new, old), name) in new.times.iter().zip(&old.times).zip(names) {
        if new.count < MIN_TIMES || old.count < MIN_TIMES {
            continue;
        }
        let error = (new.variance() / new.count + old.variance() / old.count).sqrt();
        let excess = new.mean() - old.mean();
        if excess - CERTAINTY * error > MAX_SLOWDOWN.ln() {
            return Some(format!(
                "the {name} of the new version is {:.1} times as long",
                excess.exp()
            ));
        }
    }
    None
}

fn is_suspicious(new: &Counts, old: &Counts) -> bool {
    let share = |counts: &Counts| counts.bad / counts.answers.max(1.0);
    let fails = new.bad >= 2.0 && share(new) > share(old) + SUSPICIOUS_EXCESS;
    fails || is_slow(new, old)
}

fn is_slow(new: &Counts, old: &Counts) -> bool {
    new.times.iter().zip(&old.times).any(|(new, old)| {
        let has_times = new.count >= MIN_TIMES / 2.0 && old.count >= MIN_TIMES;
        has_times && new.mean() - old.mean() > MAX_SLOWDOWN.ln()
    })
}

/// Wilson's interval of a share, of so many standard deviations on each side.
fn interval(bad: f64, answers: f64, deviations: f64) -> (f64, f64) {
    if answers < 1.0 {
        return (0.0, 1.0);
    }
    let share = (bad / answers).clamp(0.0, 1.0);
    let square = deviations * deviations;
    let scale = 1.0 + square / answers;
    let centre = share + square / (2.0 * answers);
    let width =
        deviations * (share * (1.0 - share) / answers + square / (4.0 * answers * answers)).sqrt();
    ((centre - width) / scale, (centre + width) / scale)
}
