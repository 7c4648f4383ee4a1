"""Measurements: `python -m benchmarks.NAME`, a minute at most, one JSON object as the last
line. Speeds are ratios to a reference measured in the same run, turn about.
"""
