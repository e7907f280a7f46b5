//! Macros for common sets of derives.

/// Declares plain data types that are compared, cloned and serialized.
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Declares small data types that are also `Copy`, ordered and hashed, for use as keys.
macro_rules! key {
    ($($item:item)*) => {
        $(
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $item
        )*
    };
}
