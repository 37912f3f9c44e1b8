//! Formats the ledger's sums and findings as text for people.

use streamusher_ledger::reconcile::Finding;
use streamusher_ledger::sums::Usage;

/// Column headings of the usage sums.
pub(super) const USE_HEADINGS: [&str; 10] = [
    "served",
    "slot-us",
    "corrected",
    "corrected slot-us",
    "billed",
    "billed slot-us",
    "in doubt",
    "busy",
    "failed",
    "gone",
];

/// The cells of a row of usage sums, in the order of [`USE_HEADINGS`].
pub(super) fn use_cells(u: &Usage) -> Vec<String> {
    let billed = u
        .billed_slot_us()
        .map_or_else(|e| e.to_string(), |b| b.to_string());
    vec![
        u.served.to_string(),
        u.slot_us.to_string(),
        u.corrected.to_string(),
        u.corrected_slot_us.to_string(),
        u.billed().to_string(),
        billed,
        u.doubts.to_string(),
        u.busy.to_string(),
        u.failed.to_string(),
        u.gone.to_string(),
    ]
}

/// Describes a finding of the reconciliation in one line.
pub(super) fn describe_finding(finding: &Finding) -> String {
    match finding {
        Finding::Changed { why } => format!("not counted: {why}"),
        Finding::Conflict {
            instance,
            period,
            ids,
        } => {
            format!(
                "not counted: {instance} has {} different exports of {period}",
                ids.len()
            )
        }
        Finding::Missing { instance, before } => {
            format!("{instance}: an export before {before} is missing")
        }
        Finding::Gap {
            instance,
            epoch,
            first,
            last,
        } => {
            format!("{instance}: entries {first} to {last} of epoch {epoch} are in no export")
        }
        Finding::Repeated { key, places } => {
            let places: Vec<String> = places
                .iter()
                .map(|p| format!("{} (entry {} of epoch {})", p.instance, p.seq, p.epoch))
                .collect();
            format!("key {key} was answered by {}", places.join(" and "))
        }
        Finding::Doubt(d) => format!(
            "in doubt: {} of {} at {}, {} slot-microseconds, in {}",
            d.operation, d.tenant, d.place.instance, d.slot_us, d.period
        ),
    }
}
