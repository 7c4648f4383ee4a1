"""Benchmarks, run by `python -m benchmarks.NAME`. Each takes a minute at most and prints one JSON object as
its last line. Speeds are ratios to a reference that is measured alternately in the same run.
"""
