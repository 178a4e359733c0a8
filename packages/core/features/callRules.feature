Feature: Deadlines, retries and fates of calls

    Scenario: Deadlines shrink hop by hop and never grow
        Then a call deadline is the shorter of the operation's and the caller's, less what was spent

    Scenario: Retries stay within a tenth of the calls
        Then 1000 calls that all want retries get at most 110, and no call gets more than 2

    Scenario: Only safe failures lead to a retry
        Then the next step after each call failure is as the design says

    Scenario: A call that was asked for before it arrived is barred
        Given a fate table
        Then a barred call cannot start, a started call is running, then finished, and cannot start again

    Scenario: A full fate table claims nothing
        Given a fate table
        Then a full table neither starts nor bars a call, and expired entries make room

    Scenario: A disagreement between daemons is not said to be the caller's fault
        Then the relayed reason of unknown and disagreeing refusals is "noTarget" and others are kept

    Scenario: Each refusal has a status and a time to come back
        Then every refusal reason has a status of 4xx or 5xx and a positive time
