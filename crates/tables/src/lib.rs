//! The two operator tables: parsing, checks, joins and differences.
