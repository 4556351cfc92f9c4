//! Capacity, harm between neighbours, quotas, pre-emption and quarantine.
