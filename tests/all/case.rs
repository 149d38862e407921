//! The macro that names each case.

/// Names a case of an asynchronous test: its body runs on a runtime of its own.
macro_rules! case {
    ($name:ident, $body:expr) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            $body.await
        }
    };
}
pub(crate) use case;
