"""State machines as transition tables, validated by the ``transitions`` package."""

from collections.abc import Sequence

from transitions import Machine

from camphorgate.errors import CamphorgateError


class LifecycleError(CamphorgateError):
    """A trigger is not allowed in the current state."""

    code = "lifecycle_error"


class Lifecycle:
    """Transition table of one kind of object; holds no object state.

    Decision logic keeps its state in plain values, so that states can be copied and
    compared. One machine per kind of object therefore serves as the transition table.
    """

    __slots__ = ("name", "initial", "_machine")

    def __init__(
        self,
        name: str,
        states: Sequence[str],
        transitions: Sequence[tuple[str, str, str]],
    ) -> None:
        """Build the transition table.

        :param states: all states, with the initial state first.
        :param transitions: trigger, source and destination state of each transition.
        """
        self.name = name
        self.initial = states[0]
        self._machine = Machine(
            model=None,
            states=list(states),
            transitions=[list(transition) for transition in transitions],
            initial=states[0],
            auto_transitions=False,
        )

    def next_state(self, state: str, trigger: str) -> str:
        """Return the state that a trigger leads to.

        :raises LifecycleError: if the trigger is not allowed in this state.
        """
        matches = self._machine.get_transitions(trigger, state)
        if not matches:
            raise LifecycleError(
                f"{self.name}: trigger {trigger!r} is not allowed in state {state!r}"
            )
        return matches[0].dest

    def allows(self, state: str, trigger: str) -> bool:
        """Return whether a trigger is allowed in a state."""
        return bool(self._machine.get_transitions(trigger, state))
