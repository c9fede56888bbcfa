"""Decision logic of the borageramp load balancer, free of I/O."""

import lazy_loader

# Submodules are imported on first use of a name listed in the stub file, which
# shortens the start of processes that need few of them.
__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
