"""HTTP towards callers and targets."""

from kumquatwalk.gateway.request import HttpRequest
from kumquatwalk.gateway.response import HttpResponse

__all__ = ["HttpRequest", "HttpResponse"]
