//! Routes to endpoints in trouble.

/// A route to endpoints in trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// A plain call that runs at most once.
    Confirm,
    /// A plain call that may be repeated.
    Cancel,
    /// A call of an engine that runs at most once.
    Stream,
    /// A call of an engine that may be repeated.
    Resume,
}

impl Route {
    pub const ALL: [Route; 4] = [Route::Confirm, Route::Cancel, Route::Stream, Route::Resume];

    /// Name in the configuration, also the first segment of the path.
    pub fn name(self) -> &'static str {
        match self {
            Route::Confirm => "troubled-confirm",
            Route::Cancel => "troubled-cancel",
            Route::Stream => "troubled-stream",
            Route::Resume => "troubled-resume",
        }
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Route::Cancel | Route::Resume)
    }
}
