//! Decisions on upstreams: filters, choice, cold slots, retries and admission.
