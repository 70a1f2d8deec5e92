export * from './DeduplicationTable.js';
export * from './parseTicket.js';
export * from './Ticket.js';
export * from './TicketIssuer.js';
