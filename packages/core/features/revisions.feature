@configuration
Feature: Each operator command takes effect at most once and reports its true outcome

    Scenario Outline: <command> with every fault at every step
        # Guards against a write that takes effect twice and against a reported outcome that does not match the rows.
        When "<command>" runs with each fault at each of its first 10 steps
        Then each revision command took effect at most once and reported its true outcome
        And it succeeded at least once with each of the faults "none,lostAfter,lostBefore,stale"

        Examples:
            | command |
            | submit  |
            | accept  |
            | reject  |

    Scenario Outline: <command> with random sequences of faults
        # Guards against failures that only a combination of faults causes, such as a lost response before a stale read.
        When "<command>" runs with 500 random sequences of faults
        Then each revision command took effect at most once and reported its true outcome

        Examples:
            | command |
            | submit  |
            | accept  |
            | reject  |

    Scenario Outline: <command> with every sequence of 4 faults starting at its row write
        # Guards against taking the result of a retried write for the result of the first write, whose response was lost.
        When "<command>" runs with every sequence of 4 faults starting at its row write
        Then each revision command took effect at most once and reported its true outcome

        Examples:
            | command |
            | submit  |
            | accept  |
            | reject  |

    Scenario: A write that the platform refuses has a known outcome
        # Guards against reporting an unknown outcome for a write that certainly had no effect.
        When the platform refuses the write of "accept"
        Then the revision command ends as "platformUnreachable"

    @no-older-version @stale-read
    Scenario Outline: An acceptance with stale reads of the head row: <times>
        # Guards against an acceptance that replaces an older head, or that fails because of a single stale read.
        When a revision based on version 1 is accepted with <times> stale reads of the head row
        Then the acceptance ends as "<outcome>" after <writes> writes of the head row

        Examples:
            | times | outcome             | writes |
            | 1     | accepted            | 2      |
            | 9     | platformUnreachable | 1      |

    Scenario Outline: An acceptance whose first write has the fault <first> and whose second is refused
        # Guards against taking the refusal of the second write for the outcome of the first.
        When "accept" runs with the faults "none,none,<first>,stale,none,refused"
        Then each revision command took effect at most once and reported its true outcome

        Examples:
            | first      |
            | lostAfter  |
            | lostBefore |

    Scenario Outline: A submission whose first write has the fault <first> and whose second is refused
        # Guards against taking the refusal of the second write for the outcome of the first.
        When "submit" runs with the faults "<first>,stale,refused" starting at its row write
        Then each revision command took effect at most once and reported its true outcome

        Examples:
            | first      |
            | lostAfter  |
            | lostBefore |

    Scenario: A conflict names the change that was accepted first
        # Guards against a conflict message that does not tell the operator which change caused it.
        When another operator accepts another revision before the write of "accept"
        Then the revision command ends as "conflict" and names "revision 2 by rival"

    Scenario: The list derives the state of each revision from the head row
        # Guards against listing a revision as proposed although it can no longer be accepted.
        When revisions 1 to 4 are listed after revision 2 was accepted and revision 3 rejected
        Then the listed states are "superseded,accepted,rejected,proposed"

    Scenario: The difference names resources and fields
        # Guards against a change that the operator accepts without having been shown it.
        When a revision with one changed field, one new service and no caller ledger is compared with the head
        Then the difference names the added, removed and changed resources with their fields

    Scenario: Parts that the object store has are not written again
        # Guards against traffic and platform writes for parts that did not change.
        When the same answers are submitted with the hashes of their stored parts
        Then only the answers and the manifest are written to the object store
