"""Lifecycles as tables of states and triggers, checked by ``transitions``."""

from collections.abc import Sequence

from transitions import Machine

from camphorgate.errors import CamphorgateError


class LifecycleError(CamphorgateError):
    """A trigger is not possible in the present state."""

    code = "lifecycle_error"


class Lifecycle:
    """Allowed steps of one kind of object; holds no object itself.

    Decisions keep their state in plain values, so that a state can be copied and
    compared. One machine per kind therefore serves as the table of steps.
    """

    __slots__ = ("name", "initial", "_machine")

    def __init__(
        self, name: str, states: Sequence[str], steps: Sequence[tuple[str, str, str]]
    ) -> None:
        """Build the table.

        :param states: every state, the initial one first.
        :param steps: trigger, source state and destination state of each step.
        """
        self.name = name
        self.initial = states[0]
        self._machine = Machine(
            model=None,
            states=list(states),
            transitions=[list(step) for step in steps],
            initial=states[0],
            auto_transitions=False,
        )

    def after(self, state: str, trigger: str) -> str:
        """Return the state after a trigger.

        :raises LifecycleError: if the trigger is not possible in this state.
        """
        found = self._machine.get_transitions(trigger, state)
        if not found:
            raise LifecycleError(f"{self.name}: no {trigger!r} in state {state!r}")
        return found[0].dest

    def allows(self, state: str, trigger: str) -> bool:
        """Tell whether a trigger is possible in a state."""
        return bool(self._machine.get_transitions(trigger, state))
