"""Transactions that read, acquire and release duties in the key-value service."""

import asyncio
from typing import Any

import msgspec

from camphorgate.authority.leases import DutyRecord, resign, take_over
from camphorgate.authority.orders import Journal
from camphorgate.kv.errors import KvError
from camphorgate.kv.rate_limit import Priority
from camphorgate.kv.records import Delete, Put, Read, absent, unchanged
from camphorgate.log import log_event
from camphorgated.ext.duties.held import (
    DutyState,
    HeldDuty,
    journal_key,
    lease_key,
    record_key,
)

DELETE_RETRY_SECONDS = 2.0


async def read_duty_state(kv: Any, duty: str, priority: Priority) -> DutyState:
    """Read the record, the journal and the lease key of a duty in one transaction.

    :raises KvError: if the key-value service does not answer.
    """
    keys = [record_key(duty), journal_key(duty), lease_key(duty)]
    result = await kv.transact([], [Read(key) for key in keys], priority)
    record, journal, lease = (result.entries_by_key.get(key) for key in keys)
    return DutyState(
        msgspec.json.decode(record.value, type=DutyRecord) if record else DutyRecord(),
        record.mod_revision if record else 0,
        msgspec.json.decode(journal.value, type=Journal) if journal else Journal(),
        journal.mod_revision if journal else 0,
        lease is None,
    )


async def acquire_duty(
    kv: Any, duty: str, state: DutyState, instance: str, incarnation: int, lease: int
) -> tuple[DutyRecord, int]:
    """Acquire a free duty in one transaction.

    :param lease: the id of this process's lease.
    :returns: the new record and its revision.
    :raises KvError: if the duty was not acquired or the outcome is unknown.
    """
    record = take_over(state.record, instance, incarnation, state.journal.open_epochs())
    conditions = [
        unchanged(record_key(duty), state.record_revision),
        unchanged(journal_key(duty), state.journal_revision),
        absent(lease_key(duty)),
    ]
    operations = [
        Put(record_key(duty), msgspec.json.encode(record)),
        Put(lease_key(duty), instance.encode(), lease),
    ]
    result = await kv.write_once(conditions, operations, Priority.AUTHORITY)
    return record, result.revision


async def release_duty(kv: Any, held: HeldDuty) -> bool:
    """Stop acting for a duty and release it without waiting for the lease to expire.

    While an order is open, the record keeps the holder. A successor then asks this
    process before it sends orders to a receiver that ignores fencing.

    :returns: whether the release was written.
    """
    held.lease.mark_lost()
    lease = Delete(lease_key(held.duty))
    condition = unchanged(record_key(held.duty), held.record_revision)
    try:
        if held.journal.open_orders or held.orders_in_flight():
            await kv.transact([condition], [lease], Priority.AUTHORITY)
        else:
            value = msgspec.json.encode(resign(held.record))
            operations = [Put(record_key(held.duty), value), lease]
            await kv.write_once([condition], operations, Priority.AUTHORITY)
    except KvError as error:
        log_event("duty_not_released", duty=held.duty, error=error.code)
        return False
    return True


async def delete_lease_key(kv: Any, held: HeldDuty) -> None:
    """Delete the lease key of a lost duty unless another holder has written it.

    Retries until the key-value service answers.
    """
    condition = unchanged(record_key(held.duty), held.record_revision)
    while True:
        try:
            operations = [Delete(lease_key(held.duty))]
            await kv.transact([condition], operations, Priority.BACKGROUND)
            return
        except KvError:
            await asyncio.sleep(DELETE_RETRY_SECONDS)
