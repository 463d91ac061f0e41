"""Compares the policies for returning context with two baselines, in simulated time.

A fake at the interface: engines are a block cache with a prefill queue, store VMs a
list of names with a capacity, links a speed. The decision modules run unchanged.
"""
