//! Work at a backend server.

/// What one request adds to a backend server's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestLoad {
    /// Prompt tokens of its own.
    pub prompt_tokens: u32,
    /// Prompt tokens of others that had to be read when it was sent; none if it had to wait for a
    /// slot, so that its first event tells nothing of the speed.
    pub prompt_tokens_ahead: Option<u32>,
}

/// Work that one router, or all of them, have at a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens of requests without a first event.
    pub prompt_tokens: u32,
}

impl Load {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            prompt_tokens: self.prompt_tokens.saturating_add(other.prompt_tokens),
        }
    }

    /// What is left without the other.
    pub fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
        }
    }

    /// Notes that a request was sent.
    pub fn add_request(&mut self, share: RequestLoad) {
        self.requests += 1;
        self.prompt_tokens = self.prompt_tokens.saturating_add(share.prompt_tokens);
    }

    /// Notes the first event of a request.
    pub fn finish_prefill(&mut self, share: RequestLoad) {
        self.prompt_tokens = self.prompt_tokens.saturating_sub(share.prompt_tokens);
    }

    /// Notes the end of a request; `has_begun` tells whether its first event had come.
    pub fn remove_request(&mut self, share: RequestLoad, has_begun: bool) {
        self.requests = self.requests.saturating_sub(1);
        if !has_begun {
            self.prompt_tokens = self.prompt_tokens.saturating_sub(share.prompt_tokens);
        }
    }
}
