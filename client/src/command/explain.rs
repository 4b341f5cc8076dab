//! `explain`: shows the routing decisions on a request, as the routers remember them.

use {
    crate::{
        fleet::{Fleet, InstanceResponse},
        outcome::{Code, Outcome},
        settings::Settings,
    },
    percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode},
    serde::Serialize,
    std::cmp::Reverse,
    tamarackdale_store::list::{Member, Role},
    tamarackdale_wire::{path, status::Decision},
};

#[derive(Serialize)]
struct Explanation<'a> {
    request: &'a str,
    decisions: Vec<Decision>,
    /// Routers that did not respond.
    silent: Vec<String>,
}

/// Runs the command.
pub(super) async fn run(settings: &Settings, request: &str) -> Result<Outcome, Outcome> {
    let fleet = Fleet::read(settings)
        .await
        .map_err(|error| Outcome::failed(Code::Unavailable, error.to_string()))?;
    let routers: Vec<&Member> = fleet
        .members
        .iter()
        .filter(|member| member.role == Role::Router)
        .collect();
    let segment = utf8_percent_encode(request, NON_ALPHANUMERIC);
    let path = format!("{}/{segment}", path::DECISIONS);
    let responses: Vec<InstanceResponse<'_, Vec<Decision>>> = fleet.query(&routers, &path).await;
    Ok(outcome(request, responses))
}

fn outcome(request: &str, responses: Vec<InstanceResponse<'_, Vec<Decision>>>) -> Outcome {
    let mut explanation = Explanation {
        request,
        decisions: Vec::new(),
        silent: Vec::new(),
    };
    for response in responses {
        match response.result {
            Ok(decisions) => explanation.decisions.extend(decisions),
            Err(_) => explanation.silent.push(response.member.instance.clone()),
        }
    }
    explanation
        .decisions
        .sort_by_key(|decision| Reverse(decision.age_ms));
    let code = match explanation.decisions.is_empty() {
        true => Code::NotFound,
        false => Code::Done,
    };
    Outcome::new(code, render(&explanation), &explanation)
}

fn render(explanation: &Explanation<'_>) -> String {
    let mut lines: Vec<String> = explanation
        .decisions
        .iter()
        .flat_map(render_decision)
        .collect();
    if lines.is_empty() {
        lines.push(format!(
            "no router remembers request {}",
            explanation.request
        ));
    }
    if !explanation.silent.is_empty() {
        lines.push(format!(
            "no response from {}",
            explanation.silent.join(", ")
        ));
    }
    lines.join("\n")
}

fn render_decision(decision: &Decision) -> Vec<String> {
    let chosen = match decision.chosen.as_str() {
        "" => "refused",
        chosen => chosen,
    };
    let head = format!(
        "{} ms ago, router {}: {}/{} tier {} at revision {}: {chosen} ({})",
        decision.age_ms,
        decision.router,
        decision.service,
        decision.organisation,
        decision.tier,
        decision.revision,
        decision.reason
    );
    let candidates = decision.candidates.iter().map(|candidate| {
        format!(
            "    {} predicted {} ms",
            candidate.instance, candidate.predicted_ms
        )
    });
    std::iter::once(head).chain(candidates).collect()
}
