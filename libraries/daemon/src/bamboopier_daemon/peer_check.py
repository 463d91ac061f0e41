"""Restricts gRPC methods to gateways, identified by a name in their certificate."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import grpc
import structlog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

SAN_FIELD = "x509_subject_alternative_name"
# Methods that start work or return a response. Load and configuration may be read by
# every peer with a certificate of the authority: operators and other agents do so.
GATEWAY_METHODS = frozenset(
    {"/bamboopier.v1.Agent/Serve", "/bamboopier.v1.Agent/Recall"}
)

log = structlog.get_logger()


class PeerCheck(grpc.aio.ServerInterceptor):  # type: ignore[type-arg]
    """Refuses calls of ``GATEWAY_METHODS`` from peers that are not gateways.

    Every agent has a certificate of the same authority. Without this check one
    compromised target VM could start work on all others.
    """

    def __init__(self, gateway_name: str) -> None:
        self._gateway_name = gateway_name.encode()

    async def intercept_service(
        self,
        continuation: Callable[[Any], Awaitable[Any]],
        handler_call_details: Any,
    ) -> Any:
        """Wrap the handlers of ``GATEWAY_METHODS``."""
        handler = await continuation(handler_call_details)
        if handler is None or handler_call_details.method not in GATEWAY_METHODS:
            return handler
        if handler.unary_stream is not None:
            return grpc.unary_stream_rpc_method_handler(
                self._guard_stream(handler.unary_stream),
                handler.request_deserializer,
                handler.response_serializer,
            )
        return grpc.unary_unary_rpc_method_handler(
            self._guard_call(handler.unary_unary),
            handler.request_deserializer,
            handler.response_serializer,
        )

    def _guard_stream(self, serve: Any) -> Any:
        async def guarded(request: Any, context: Any) -> AsyncIterator[Any]:
            await self._check(context)
            async for response in serve(request, context):
                yield response

        return guarded

    def _guard_call(self, serve: Any) -> Any:
        async def guarded(request: Any, context: Any) -> Any:
            await self._check(context)
            return await serve(request, context)

        return guarded

    async def _check(self, context: Any) -> None:
        names = context.auth_context().get(SAN_FIELD, ())
        if self._gateway_name not in names:
            log.warning("peer refused", peer=context.peer())
            text = f"the certificate does not hold {self._gateway_name.decode()}"
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, text)
