@configuration
Feature: An accepted configuration reaches every host whatever fails

    @no-older-version @no-dangling-route @no-partial-version @in-force-everywhere
    Scenario Outline: A change and a bad version during <fault>
        # Guards against a host that goes back, applies a bad version in part, or stays behind after the fault.
        When the configuration changes during "<fault>" with each kind of spread and 2 seeds
        Then no host of the fleet ever went back or held a version in part
        And every host of the fleet served each accepted version within 9 s after the fault

        @herd-death
        Examples:
            | fault      |
            | herd death |

        @reconnect-storm
        Examples:
            | fault           |
            | reconnect storm |

        @source-outage
        Examples:
            | fault         |
            | source outage |

        @crossed-updates
        Examples:
            | fault           |
            | crossed updates |

        @store-down
        Examples:
            | fault      |
            | store down |

        @store-slow
        Examples:
            | fault      |
            | store slow |

        @lost-answer
        Examples:
            | fault        |
            | lost answers |

        @lapsed-lease
        Examples:
            | fault                    |
            | a paused host            |
            | a paused operator command |

        @operator-race
        Examples:
            | fault            |
            | operators racing |

        @silent-connection
        Examples:
            | fault              |
            | silent connections |

        @domain-partition
        Examples:
            | fault                     |
            | partition between domains |

        @platform-partition
        Examples:
            | fault                       |
            | partition from the platform |

        @stale-read
        Examples:
            | fault       |
            | stale reads |

    @no-older-version @no-dangling-route @no-partial-version @in-force-everywhere @two-faults
    Scenario: A change and a bad version during every pair of faults
        # Guards against faults that only do harm together.
        When the configuration changes during every pair of faults
        Then no host of the fleet ever went back or held a version in part
        And every host of the fleet served each accepted version within 9 s after the fault

    @no-older-version @no-dangling-route @no-partial-version @in-force-everywhere
    Scenario Outline: <act> of either end of a change when <step>
        # Guards against a step of a change that cannot be lost, delayed or cut off without harm.
        When each end of a change suffers a <act> at the step "<step>"
        Then no host of the fleet ever went back or held a version in part
        And every host of the fleet served each accepted version within 9 s after the fault

        Examples:
            | step                   | act   |
            | submitted              | kill  |
            | submitted              | pause |
            | submitted              | cut   |
            | generated              | kill  |
            | generated              | pause |
            | generated              | cut   |
            | parts written          | kill  |
            | parts written          | pause |
            | parts written          | cut   |
            | head moved             | kill  |
            | head moved             | pause |
            | head moved             | cut   |
            | answer lost            | kill  |
            | answer lost            | pause |
            | answer lost            | cut   |
            | read by a domain       | kill  |
            | read by a domain       | pause |
            | read by a domain       | cut   |
            | update sent            | kill  |
            | update sent            | pause |
            | update sent            | cut   |
            | parts fetched          | kill  |
            | parts fetched          | pause |
            | parts fetched          | cut   |
            | configuration replaced | kill  |
            | configuration replaced | pause |
            | configuration replaced | cut   |
            | version reported       | kill  |
            | version reported       | pause |
            | version reported       | cut   |
