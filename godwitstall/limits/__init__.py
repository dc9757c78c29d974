"""Admission control, concurrency limits and retry budgets."""
