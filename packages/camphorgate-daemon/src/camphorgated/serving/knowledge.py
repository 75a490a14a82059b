"""Fetches state from peers that this instance did not get from the store.

An instance lacks state when the store does not serve it or a watcher's datagram was
lost. The state must arrive complete, so it is fetched over gRPC, not by datagrams.
"""

import asyncio
import random

import grpc
import msgspec

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.peers.service import CHANNEL_OPTIONS
from camphorgate.serving.transfer_budget import TransferBudget
from camphorgated.errors import ListenError
from camphorgated.serving.catalog_parts import split_catalog
from camphorgated.serving.messages import (
    CatalogPart,
    FetchRequest,
    FetchResponse,
    MissingParts,
)
from camphorgated.serving.news import BROADCAST_BYTES_PER_SECOND

SERVICE = "camphorgate.serving.Knowledge"
METHOD = f"/{SERVICE}/Fetch"
FETCH_TIMEOUT_SECONDS = 0.6
FETCH_PERIOD_SECONDS = 0.25
# Peers that are asked one after the other until one of them answers.
MAX_PEERS_PER_FETCH = 3
# With more instances than this, the fetch period grows in proportion, up to a maximum
# that leaves half of the smallest bound on a change for its remaining propagation.
FETCH_PERIOD_INSTANCES = 16
MAX_FETCH_PERIOD_SECONDS = 1.2
POLL_SECONDS = 0.1
STOP_TIMEOUT_SECONDS = 0.2
# Configurations in answers take at most half of the time in which a peer waits for one.
MAX_ANSWER_QUEUE_SECONDS = FETCH_TIMEOUT_SECONDS / 2
# Every channel opens a new connection, as a shared one may have gone silent.
_DIAL_OPTIONS = (*CHANNEL_OPTIONS, ("grpc.use_local_subchannel_pool", 1))


class PeerKnowledge:
    """Answers fetch requests of peers, and fetches from them what is lacking here."""

    __slots__ = (
        "_app",
        "_members",
        "_directory",
        "_gossip",
        "_server",
        "_addresses",
        "_random",
        "_budget",
        "_changing",
        "_stopped",
    )

    def __init__(self, app: Application) -> None:
        """Prepare without starting the server."""
        self._app = app
        self._members = app.service("members")
        self._directory = app.service("directory")
        self._gossip = app.service("gossip")
        self._server: grpc.aio.Server | None = None
        # Addresses reported by peers, besides those of peers that sent a state.
        self._addresses: set[str] = set()
        self._random = random.Random()
        self._budget = TransferBudget(
            BROADCAST_BYTES_PER_SECOND, MAX_ANSWER_QUEUE_SECONDS
        )
        # Held while the server starts or stops.
        self._changing = asyncio.Lock()
        self._stopped = False

    async def start(self) -> None:
        """Listen for peers and start fetching from them when needed.

        :raises ListenError: if the address cannot be used.
        """
        async with self._changing:
            if self._stopped:
                return
            await self._listen()
        self._app.supervise(self._fetch, "knowledge of peers")

    async def _listen(self) -> None:
        self._server = grpc.aio.server(options=CHANNEL_OPTIONS)
        handler = grpc.unary_unary_rpc_method_handler(
            self._answer,
            request_deserializer=msgspec.msgpack.Decoder(FetchRequest).decode,
            response_serializer=msgspec.msgpack.encode,
        )
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {"Fetch": handler}),)
        )
        try:
            self._server.add_insecure_port(self._app.settings.peer_address)
        except RuntimeError as error:
            raise ListenError(f"cannot listen for peers: {error}") from None
        await self._server.start()
        self._gossip.answers_fetches = True

    async def stop(self) -> None:
        """Stop answering.

        This extension starts late. A server of grpc.aio that starts while the daemon
        stops, or after that, runs on freed memory and crashes the process.
        """
        self._stopped = True
        self._gossip.answers_fetches = False
        async with self._changing:
            if self._server is not None:
                await self._server.stop(STOP_TIMEOUT_SECONDS)

    async def _fetch(self) -> None:
        """Fetch what this instance lacks, for as long as the process runs."""
        while True:
            await self._wait_until_needed()
            # A peer that does not answer has cost much of the time that a change has,
            # so another one is asked without a further delay.
            asked: set[str] = set()
            while len(asked) < MAX_PEERS_PER_FETCH and self._needed():
                address = self._fetch_address(asked)
                if address is None or await self._fetch_from(address):
                    break
                asked.add(address)

    async def _fetch_from(self, address: str) -> bool:
        """Fetch from a peer; return whether it answered."""
        began = self._app.clock.monotonic()
        try:
            knowledge = await self._ask(address)
        except grpc.RpcError as error:
            self._addresses.discard(address)
            code = error.code().name.lower()
            log_event("peer_not_answering", peer=address, error=code)
            return False
        self._apply_knowledge(knowledge, self._app.clock.monotonic() - began)
        return True

    async def _wait_until_needed(self) -> None:
        """Wait until this instance lacks something, and then for a random delay.

        Many instances lack the same state at once, and few have it: a watcher to which
        all instances of a zone connected at once did not respond for a second.
        """
        while not self._needed():
            await asyncio.sleep(POLL_SECONDS)
        period = (
            FETCH_PERIOD_SECONDS * self._directory.instances / FETCH_PERIOD_INSTANCES
        )
        period = min(MAX_FETCH_PERIOD_SECONDS, max(FETCH_PERIOD_SECONDS, period))
        await asyncio.sleep(period * self._random.uniform(0.2, 1.0))

    def _needed(self) -> bool:
        """Return whether a peer may have state that this instance lacks or doubts."""
        directory = self._directory
        if not directory.sound or directory.missed_changes():
            return True
        return directory.watches.watching and bool(directory.table.doubted_entries())

    def _fetch_address(self, asked: set[str]) -> str | None:
        """Return the address of an up-to-date peer, or else of any that may answer.

        :param asked: addresses of peers that did not answer just now.
        """
        live = [
            state
            for state in self._gossip.live_states()
            if state.address and state.address not in asked
        ]
        sound = [state for state in live if state.sound]
        certain = [state for state in sound if state.watching and not state.doubting]
        if self._directory.table.doubted_entries() and certain:
            return self._random.choice(certain).address
        watching = [state for state in sound if state.watching]
        if watching:
            # Any peer that is as far as the newest watcher can answer.
            newest = max(watching, key=lambda item: (item.version, item.list_revision))
            known_to = (newest.version, newest.list_digest)
            sound = [
                state
                for state in sound
                if (state.version, state.list_digest) == known_to
            ]
        addresses = [state.address for state in sound]
        known = {*self._app.settings.seeds, *self._addresses}
        known.update(state.address for state in live)
        known -= {self._members.own.peer_address, *asked}
        candidates = addresses or sorted(known)
        return self._random.choice(candidates) if candidates else None

    def request(self) -> FetchRequest:
        """Return the request for what this instance lacks now."""
        table = self._directory.table
        return FetchRequest(
            self._directory.configuration.version,
            table.digest(),
            [upstream_id for upstream_id, _ in table.doubted_entries()],
            accepts_encoded=True,
            missing=self._directory.configuration.missing_parts(),
        )

    async def _ask(self, address: str) -> FetchResponse:
        async with grpc.aio.insecure_channel(address, _DIAL_OPTIONS) as channel:
            call = channel.unary_unary(
                METHOD,
                request_serializer=msgspec.msgpack.encode,
                response_deserializer=msgspec.msgpack.Decoder(FetchResponse).decode,
            )
            return await call(self.request(), timeout=FETCH_TIMEOUT_SECONDS)

    def _apply_knowledge(self, knowledge: FetchResponse, seconds: float) -> None:
        self._gossip.note_addresses(knowledge.gossip_addresses)
        self._addresses.update(knowledge.addresses)
        self._apply_configuration(knowledge, seconds)
        self._directory.apply_confirmed_removals(knowledge)
        watching = self._directory.watches.watching and self._directory.sound
        if knowledge.upstreams is not None and not watching:
            self._directory.apply_peer_upstreams(knowledge)

    def _apply_configuration(self, knowledge: FetchResponse, seconds: float) -> None:
        encoded, raw = knowledge.encoded_catalog, knowledge.catalog
        pieces = [part.data for part in knowledge.parts]
        size = len(encoded.data if encoded else raw) + sum(map(len, pieces))
        if not size and not knowledge.busy:
            return
        log_event(
            "configuration_fetched",
            peer=knowledge.instance,
            bytes=size,
            parts=len(pieces),
            busy=knowledge.busy,
            seconds=seconds,
        )
        for part in knowledge.parts:
            self._directory.configuration.receive_part(part)
        if encoded is not None:
            self._directory.configuration.apply_encoded(encoded, knowledge.instance)
        elif raw:
            self._directory.configuration.apply(raw, knowledge.instance)

    async def _answer(self, question: FetchRequest, context) -> FetchResponse:
        directory = self._directory
        history = directory.configuration.history
        members = self._members.by_instance().values()
        live = self._gossip.live_states()
        knowledge = FetchResponse(
            instance=self._members.own.instance,
            gossip_addresses=sorted(
                {item.gossip_address for item in (*members, *live, self._members.own)}
            ),
            addresses=sorted(
                {item.peer_address for item in members}
                | {item.address for item in live if item.address}
            ),
        )
        if history.version > question.version:
            self._add_configuration(knowledge, question)
        if directory.sound and directory.table.digest() != question.digest:
            knowledge.upstreams = list(directory.table.by_id.values())
            knowledge.revision = directory.table.revision
            knowledge.doubted = directory.table.doubted_entries()
        knowledge.removed = directory.table.confirmed_removals(question.doubted)
        return knowledge

    def _add_configuration(
        self, knowledge: FetchResponse, question: FetchRequest
    ) -> None:
        """Add the configuration, unless the link is busy with others' answers."""
        catalog = self._directory.catalog
        if not question.accepts_encoded:
            if self._reserve(knowledge, len(catalog.raw)):
                knowledge.catalog = catalog.raw
            return
        parts = self._missing_parts(question.missing)
        if parts:
            if self._reserve(knowledge, sum(len(part.data) for part in parts)):
                knowledge.parts = parts
            return
        encoded = self._directory.configuration.history.encode(question.version)
        if self._reserve(knowledge, len(encoded.data)):
            knowledge.encoded_catalog = encoded

    def _reserve(self, knowledge: FetchResponse, size: int) -> bool:
        now = self._app.clock.monotonic()
        knowledge.busy = not self._budget.try_reserve(size, now)
        return not knowledge.busy

    def _missing_parts(self, missing: MissingParts | None) -> list[CatalogPart]:
        """Return parts that a peer lacks, or none if this instance has other parts."""
        history = self._directory.configuration.history
        if missing is None or missing.version != history.version:
            return []
        own = self._members.own
        encoded = history.encode(missing.base)
        parts = split_catalog(own.instance, own.zone, encoded)
        if (encoded.base, len(parts)) != (missing.base, missing.parts):
            return []
        return [parts[number] for number in missing.numbers if number < len(parts)]


def setup(app: Application) -> None:
    """Provide the exchange with peers, and start it."""
    knowledge = PeerKnowledge(app)
    app.provide("knowledge", knowledge)
    app.on_start(knowledge.start)
    app.on_stop(knowledge.stop)
