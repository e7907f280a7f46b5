//! The common sets of derives.

/// Declares plain values that are compared, copied around and sent between processes.
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Declares small keys that are also copied, ordered and hashed.
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
