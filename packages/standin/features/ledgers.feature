Feature: The comparison of ledgers finds each discrepancy

    # Guards against a demo or test that reports success although a call was lost, ran twice or got another call's response.
    Scenario Outline: <case>
        Given a ledger comparison of a <kind> call with outcome <outcome>
        And the compared call <answer> its own answer and has <runs> runs that <end>
        When the call ledger is compared with the run ledger
        Then the ledger comparison finds exactly "<found>"

        Examples:
            | case                                      | kind           | outcome   | answer   | runs | end       | found                    |
            | a complete call                           | non-repeatable | completed | received | 1    | finished  | completed                |
            | complete but never run                    | non-repeatable | completed | received | 0    | finished  | completed, lost          |
            | complete but its only run was cancelled   | non-repeatable | completed | received | 1    | cancelled | completed, lost          |
            | no outcome at all                         | non-repeatable | none      | missed   | 0    | finished  | lost                     |
            | an order that ran twice                   | non-repeatable | completed | received | 2    | finished  | completed, doubled       |
            | a reading that ran twice                  | repeatable     | completed | received | 2    | finished  | completed                |
            | a cut order that ran twice                | non-repeatable | cut       | missed   | 2    | finished  | cut, doubled             |
            | a cut call                                | non-repeatable | cut       | missed   | 1    | finished  | cut                      |
            | refused and not run                       | non-repeatable | notRun    | missed   | 0    | finished  | refusedNotRun            |
            | said to be not run but ran                | non-repeatable | notRun    | missed   | 1    | finished  | falseNotRun, refusedNotRun |
            | outcome unknown                           | non-repeatable | unknown   | missed   | 1    | finished  | outcomeUnknown           |
            | the answer of another call                | repeatable     | completed | missed   | 1    | finished  | completed, wrongAnswers  |

    # Guards against an upload that was truncated or modified on its way to the backend server.
    Scenario: A run with another body is a wrong answer
        Given a ledger comparison of a repeatable call with outcome completed
        And the compared call received its own answer and has 1 runs that finished
        And the run of the compared call hashed another body
        When the call ledger is compared with the run ledger
        Then the ledger comparison finds exactly "completed, wrongAnswers"

    # Guards against a comparison that only works on constructed ledgers: these come from a load generator and a backend
    # server stand-in.
    Scenario: A load with uploads and orders against a backend server agrees with its ledger
        Given a backend server stand-in with 4 slots that loses 2 answers
        When a load of 40 calls with uploads and orders is sent to the backend server stand-in
        Then the ledgers show 38 completed, 2 cut and nothing lost, doubled, wrong or falsely refused

    # Guards against a call that is reported as not run although its work was done.
    Scenario: A backend server that sheds, drains or is past the deadline runs nothing
        Given a backend server stand-in with 4 slots that loses 0 answers
        When the backend server stand-in sheds, then drains, then receives calls past their deadline
        Then every one of these calls is refused as not run and the run ledger is empty
