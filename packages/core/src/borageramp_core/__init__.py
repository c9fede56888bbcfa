"""Decisions of the borageramp load balancer, without input or output."""

import lazy_loader

# Names load their modules when first used; the stub beside this file lists
# them. A process that needs few of them starts sooner.
__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
