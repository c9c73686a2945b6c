"""Measurements that run as commands."""
