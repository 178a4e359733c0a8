@configuration
Feature: Each operator's command takes effect once and its outcome is true

    Scenario Outline: <command> with every fault at every step
        # Guards against a write that takes effect twice, and against an outcome that does not match the rows.
        When "<command>" runs with each fault at each of its first 10 steps
        Then each revision command took effect at most once and told the truth
        And each of "none,lostAfter,lostBefore,stale" alone let it succeed at least once

        Examples:
            | command |
            | submit  |
            | accept  |
            | reject  |

    Scenario Outline: <command> with random combinations of faults
        # Guards against faults that only do harm together, such as a lost answer before a stale read.
        When "<command>" runs with 500 random lists of faults
        Then each revision command took effect at most once and told the truth

        Examples:
            | command |
            | submit  |
            | accept  |
            | reject  |

    Scenario Outline: <command> with every sequence of 4 faults from its write on
        # Guards against a second write whose answer is taken for the answer of the first, lost one.
        When "<command>" runs with every sequence of 4 faults from its write of a row on
        Then each revision command took effect at most once and told the truth

        Examples:
            | command |
            | submit  |
            | accept  |
            | reject  |

    Scenario: A refusal of the platform is not an unknown outcome
        # Guards against an operator who has to check after a write that certainly had no effect.
        When "accept" is refused at its write
        Then the revision command ends as "platformUnreachable"

    @no-older-version @stale-read
    Scenario Outline: An acceptance reads a stale head row again, <times> times
        # Guards against an acceptance that builds on an older head, or that fails because of one stale read.
        When a revision based on version 1 is accepted with <times> stale reads of the head row
        Then the acceptance ends as "<outcome>" after <writes> writes of the head row

        Examples:
            | times | outcome             | writes |
            | 1     | accepted            | 2      |
            | 9     | platformUnreachable | 1      |

    Scenario Outline: An acceptance whose first write is lost and second refused, after <first>
        # Guards against a refusal of the second write that is taken for the outcome of the first.
        When "accept" meets the faults "none,none,<first>,stale,none,refused"
        Then each revision command took effect at most once and told the truth

        Examples:
            | first      |
            | lostAfter  |
            | lostBefore |

    Scenario Outline: A submission whose first write is lost and second refused, after <first>
        # Guards against a refusal of the second write that is taken for the outcome of the first.
        When "submit" meets the faults "<first>,stale,refused" from its write of a row on
        Then each revision command took effect at most once and told the truth

        Examples:
            | first      |
            | lostAfter  |
            | lostBefore |

    Scenario: The loser of a race learns the winning change
        # Guards against an operator who cannot tell why the command failed.
        When a rival accepts another revision before the write of "accept"
        Then the revision command ends as "conflict" and names "revision 2 by rival"

    Scenario: The list marks each revision by the head row
        # Guards against a list that offers revisions which can no longer be accepted.
        When revisions 1 to 4 are listed after revision 2 was accepted and revision 3 rejected
        Then the listed states are "superseded,accepted,rejected,proposed"

    Scenario: The difference names resources and fields
        # Guards against an operator who accepts a change without seeing it.
        When a revision with one changed field, one new service and no ledger is compared with the head
        Then the difference names the added, removed and changed resources with their fields

    Scenario: Stored parts are not written again
        # Guards against control bytes and platform writes for parts that did not change.
        When the same answers are submitted with the hashes of the held manifest
        Then only the answers and the manifest are written to the object store
