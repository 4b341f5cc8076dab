//! Commented example documents, shipped with the programs.

/// An example document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Example {
    /// Name of the service.
    pub service: &'static str,
    /// Text in TOML.
    pub text: &'static str,
}

/// Sharpening assistant of a chisel workshop: model engines.
pub const SLIBE_LLM: Example = Example {
    service: "slibe-llm",
    text: include_str!("../../resources/slibe-llm.toml"),
};

/// Orders of the same workshop: a plain service.
pub const ORDRE_APP: Example = Example {
    service: "ordre-app",
    text: include_str!("../../resources/ordre-app.toml"),
};

/// Assistant of a snow clearance office: model engines.
pub const TAMARACK_POOL: Example = Example {
    service: "tamarack-pool",
    text: include_str!("../../resources/tamarack-pool.toml"),
};

/// Crew dispatch of the same office: a plain service.
pub const DISPATCH_APP: Example = Example {
    service: "dispatch-app",
    text: include_str!("../../resources/dispatch-app.toml"),
};

/// All examples.
pub const ALL: [Example; 4] = [SLIBE_LLM, ORDRE_APP, TAMARACK_POOL, DISPATCH_APP];
