//! The policies that are compared.

/// A policy by name, and the settings that select it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Name in results and plots.
    pub name: &'static str,
    /// Settings of the routers.
    pub router_flags: &'static [&'static str],
    /// Settings of the sidecars.
    pub sidecar_flags: &'static [&'static str],
}

const ALL_PARTS_OFF: &str = "affinity,feasibility,correction,floor";

/// Sidecars that hand requests to the engine as they come, in its own order.
const FIRST_IN: &[&str] = &[
    "--queue-order",
    "first-in",
    "--batch-limit",
    "1000",
    "--shed-floor",
    "off",
    "--max-waiting",
    "100000",
];

impl Policy {
    /// All policies: the baselines, the whole policy, and the policy with each part off.
    pub const ALL: &[Self] = &[
        Self::baseline(
            "random",
            &["--placement", "random", "--policy-off", ALL_PARTS_OFF],
        ),
        Self::baseline(
            "round-robin",
            &["--placement", "round-robin", "--policy-off", ALL_PARTS_OFF],
        ),
        Self::baseline(
            "least-outstanding",
            &[
                "--placement",
                "least-outstanding",
                "--policy-off",
                ALL_PARTS_OFF,
            ],
        ),
        Self::whole("whole", &[], &[]),
        Self::whole("no-affinity", &["--policy-off", "affinity"], &[]),
        Self::whole("no-feasibility", &["--policy-off", "feasibility"], &[]),
        Self::whole("no-correction", &["--policy-off", "correction"], &[]),
        Self::whole(
            "no-floor",
            &["--policy-off", "floor"],
            &["--shed-floor", "off"],
        ),
        Self::whole("fixed-limit", &[], &["--batch-limit", "16"]),
    ];

    /// The policy of this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.iter().find(|policy| policy.name == name).copied()
    }

    const fn baseline(name: &'static str, router_flags: &'static [&'static str]) -> Self {
        Self::whole(name, router_flags, FIRST_IN)
    }

    const fn whole(
        name: &'static str,
        router_flags: &'static [&'static str],
        sidecar_flags: &'static [&'static str],
    ) -> Self {
        Self {
            name,
            router_flags,
            sidecar_flags,
        }
    }
}
