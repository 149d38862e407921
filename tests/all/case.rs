//! The macro that defines an asynchronous test.

/// Defines a test from a name and a future, which runs on its own multi-threaded runtime.
macro_rules! case {
    ($name:ident, $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            $body.await
        }
    };
}
pub(crate) use case;
