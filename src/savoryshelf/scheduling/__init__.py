"""Decisions: where batch work goes, who owns which worker, who must yield."""
