//! Work in progress at a backend server.

/// The load that one request adds to a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestLoad {
    /// Prompt tokens of the request.
    pub prompt_tokens: u32,
    /// Prompt tokens of other requests that were not prefilled yet when this one was sent. `None`
    /// if the request had to wait for a slot; the time to its first event then includes the wait
    /// and says nothing about the prefill speed.
    pub prompt_tokens_ahead: Option<u32>,
}

/// Work of one router, or of all routers, in progress at a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that were sent and have not ended.
    pub requests: u32,
    /// Prompt tokens of the requests whose first event has not arrived.
    pub prompt_tokens: u32,
}

impl Load {
    /// The sum of both loads.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            prompt_tokens: self.prompt_tokens.saturating_add(other.prompt_tokens),
        }
    }

    /// The difference of both loads, zero at least.
    pub fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
        }
    }

    /// Adds a request that was sent.
    pub fn add_request(&mut self, request: RequestLoad) {
        self.requests = self.requests.saturating_add(1);
        self.prompt_tokens = self.prompt_tokens.saturating_add(request.prompt_tokens);
    }

    /// Removes the prompt tokens of a request whose first event has arrived.
    pub fn finish_prefill(&mut self, request: RequestLoad) {
        self.prompt_tokens = self.prompt_tokens.saturating_sub(request.prompt_tokens);
    }

    /// Removes a request that has ended; `is_prefilled` if its first event had arrived, so that its
    /// prompt tokens have been removed already.
    pub fn remove_request(&mut self, request: RequestLoad, is_prefilled: bool) {
        self.requests = self.requests.saturating_sub(1);
        if !is_prefilled {
            self.prompt_tokens = self.prompt_tokens.saturating_sub(request.prompt_tokens);
        }
    }
}
