"""Compares the policies for returning context with two baselines, in simulated time.

Simple models replace the hardware: engines are a block cache with a prefill queue,
store VMs a list of names with a capacity, and links a speed. The decision modules run
unchanged.
"""
