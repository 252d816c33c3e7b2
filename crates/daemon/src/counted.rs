//! Metrics for calls to the store.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use prometheus::{IntCounterVec, Opts, Registry};
use store::{Changes, Comparison, Entry, Era, Error, Expect, LeaseId, Put, Revision, Scan, Store};
use tokio::sync::watch;

/// Forwards calls to another store and counts them by operation and result.
#[derive(Debug)]
pub(crate) struct CountedStore {
    store: Arc<dyn Store>,
    calls: IntCounterVec,
}

impl CountedStore {
    /// Wraps `store` and registers the counter of its calls in `registry`.
    ///
    /// # Errors
    ///
    /// Fails if `registry` has the metric already.
    pub(crate) fn open(
        store: Arc<dyn Store>,
        registry: &Registry,
    ) -> Result<Self, prometheus::Error> {
        let calls = Opts::new(
            "sardinestall_store_calls_total",
            "Calls to the platform's key-value service, by operation and result.",
        );
        let calls = IntCounterVec::new(calls, &["operation", "result"])?;
        registry.register(Box::new(calls.clone()))?;
        Ok(Self { store, calls })
    }

    fn count<T>(&self, operation: &str, result: Result<T, Error>) -> Result<T, Error> {
        let label = match &result {
            Ok(_) => "ok",
            Err(Error::Unavailable(_)) => "unavailable",
            Err(Error::Limited) => "limited",
            Err(Error::Unknown(_)) => "unknown",
            Err(_) => "refused",
        };
        self.calls.with_label_values(&[operation, label]).inc();
        result
    }
}

#[async_trait]
impl Store for CountedStore {
    fn era(&self) -> watch::Receiver<Era> {
        self.store.era()
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let result = self.store.get(key).await;
        self.count("get", result)
    }

    async fn compare(&self, key: &str, revision: Revision) -> Result<Comparison, Error> {
        let result = self.store.compare(key, revision).await;
        self.count("compare", result)
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, Error> {
        let result = self.store.list(prefix, after, limit).await;
        self.count("list", result)
    }

    async fn scan(&self, prefix: &str) -> Result<Scan, Error> {
        let result = self.store.scan(prefix).await;
        self.count("scan", result)
    }

    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Put, Error> {
        let result = self.store.put(key, value, expect, lease).await;
        self.count("put", result)
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<Put, Error> {
        let result = self.store.delete(key, expect).await;
        self.count("delete", result)
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        let result = self.store.watch(prefix, after, wait).await;
        self.count("watch", result)
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let result = self.store.grant(ttl).await;
        self.count("grant", result)
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, Error> {
        let result = self.store.renew(lease).await;
        self.count("renew", result)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let result = self.store.revoke(lease).await;
        self.count("revoke", result)
    }
}
