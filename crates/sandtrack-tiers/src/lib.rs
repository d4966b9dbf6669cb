//! The design's ordinary path: smoothed probe times, tiers with their margin, health by runs, the random pick.
