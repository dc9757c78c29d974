"""Demo, benchmarks and the runner of the tests in docs/proofs.md."""
