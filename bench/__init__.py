"""Demo, benchmarks and the proof runner."""
